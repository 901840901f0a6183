use verbenahub_core::{clock::TimeSpan, targets::TargetRecord};
use verbenahub_platform::headers;

use super::ActiveRequest;
use crate::http::{HeaderField, HeaderList};

/// Headers that concern one connection only, and those of the body's framing,
/// which is the gateway's own.
const CONNECTION_HEADERS: &[&str] = &[
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

/// Whether a header concerns one connection only.
pub(super) fn is_of_connection(field: &HeaderField) -> bool {
    CONNECTION_HEADERS.iter().any(|name| field.is_named(name))
}

/// What a target gets besides what the caller sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct ForwardExtras<'a> {
    /// Results that the target reads first.
    pub(super) inputs: Option<&'a [String]>,
    /// Last event that the caller has, where the gateway resumes a stream.
    pub(super) last_event: Option<&'a str>,
}

/// Headers of a request as its target gets them.
pub(super) fn forward_headers(
    request: &ActiveRequest,
    record: &TargetRecord,
    left: TimeSpan,
    extras: ForwardExtras<'_>,
) -> HeaderList {
    let mut list = HeaderList::default();
    let passing = request.head.headers.iter().filter(|field| {
        let is_own = headers::GATEWAY_ONLY
            .iter()
            .any(|name| field.is_named(name));
        let is_replaced = extras.last_event.is_some() && field.is_named(headers::LAST_EVENT);
        !is_own && !is_replaced && !is_of_connection(field)
    });
    for field in passing {
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
        list.push(headers::LAST_EVENT, event.to_owned());
    }
    list
}
