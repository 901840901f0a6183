use verbenahub_core::{clock::TimeSpan, targets::TargetRecord};
use verbenahub_platform::headers;

use super::ActiveRequest;
use crate::http::{HeaderField, HeaderList};

/// Hop-by-hop headers, and headers of the body framing. Neither is forwarded,
/// since the gateway frames each body itself.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "Connection",
    "Content-Length",
    "Expect",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
];

/// Whether a header must not be forwarded from one connection to another.
pub(super) fn is_hop_by_hop(field: &HeaderField) -> bool {
    HOP_BY_HOP_HEADERS.iter().any(|name| field.is_named(name))
}

/// Values of headers that the gateway adds to the caller's request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ForwardExtras<'a> {
    /// Names of the stage results that the target reads as inputs.
    pub(super) inputs: Option<&'a [String]>,
    /// Identifier of the last event that the caller received, if a stream is
    /// being resumed.
    pub(super) last_event: Option<&'a str>,
}

/// Headers of a request as they are sent to a target.
pub(super) fn forward_headers(
    request: &ActiveRequest,
    record: &TargetRecord,
    left: TimeSpan,
    extras: ForwardExtras<'_>,
) -> HeaderList {
    let mut list = HeaderList::default();
    let forwarded = request.head.headers.iter().filter(|field| {
        let is_own = headers::GATEWAY_ONLY
            .iter()
            .any(|name| field.is_named(name));
        let is_replaced = extras.last_event.is_some() && field.is_named(headers::LAST_EVENT_ID);
        !is_own && !is_replaced && !is_hop_by_hop(field)
    });
    for field in forwarded {
        list.push_field(field.clone());
    }
    list.push(headers::DEADLINE, left.as_millis().to_string());
    list.push(headers::EXPECT_TARGET, record.id.to_string());
    if let Some(workspace) = &request.workspace {
        list.push(headers::WORKSPACE, workspace.to_string());
    }
    if let Some(inputs) = extras.inputs {
        list.push(headers::INPUTS, inputs.join(","));
    }
    if let Some(event) = extras.last_event {
        list.push(headers::LAST_EVENT_ID, event.to_owned());
    }
    list
}
