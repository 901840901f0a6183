use bytes::Bytes;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    routes::{AuthResult, SendHistory},
};
use verbenahub_platform::headers;

use super::{ActiveRequest, OwnAnswer};
use crate::{http::RequestHead, process::Shared};

/// When a caller may come back to a node that doesn't know yet what is in
/// force. Other nodes mostly do.
const NOT_CURRENT_RETRY: TimeSpan = TimeSpan::from_millis(300);

/// Finds out what a request is and whether its caller may make it. The answer
/// to both is taken from one version of the configuration.
///
/// # Errors
///
/// Gives the answer to a request that goes no further.
pub(super) fn take_in(
    shared: &Shared,
    head: RequestHead,
    body: Bytes,
    received: ClockTime,
) -> Result<ActiveRequest, OwnAnswer> {
    let unknown = |code| match SendHistory::default().prove_not_run() {
        Some(proof) => OwnAnswer::not_run(proof, code, NOT_CURRENT_RETRY),
        None => OwnAnswer::outcome_unknown(),
    };
    let config = shared.config().ok_or_else(|| unknown("no_configuration"))?;
    // A node that may have missed a change doesn't know that a route or key
    // is not there.
    let is_current = shared.store_connectivity.borrow().is_current(shared.now());
    let deny = |answer: OwnAnswer| {
        if is_current {
            answer
        } else {
            unknown("configuration_not_current")
        }
    };
    let host = head.headers.text("host").unwrap_or_default();
    let route = config.find(host, head.path()).cloned();
    let route = route.ok_or_else(|| deny(OwnAnswer::no_route()))?;
    let workspace = match config.keys.authenticate(caller_key(&head)) {
        AuthResult::Authenticated(workspace) => Some(workspace.clone()),
        AuthResult::NotRequired => None,
        AuthResult::Unauthenticated if route.public => None,
        AuthResult::Unauthenticated => return Err(deny(OwnAnswer::unknown_key())),
    };
    let id = head.headers.text(headers::REQUEST_ID).map(str::to_owned);
    let id = id.ok_or(OwnAnswer::bad_request("no_request_id"))?;
    let deadline = head.headers.number(headers::DEADLINE);
    let deadline = deadline.map_or(route.timeout, TimeSpan::from_millis);
    let elapsed = shared.record_deadline(&route, deadline);
    let service = route.pick_service(shared.random_fraction()).cloned();
    let service = service.ok_or_else(|| unknown("no_service"))?;
    Ok(ActiveRequest {
        id,
        limit_at: received + deadline.min(route.timeout),
        first_sent: received - elapsed,
        received,
        route,
        service,
        workspace,
        config,
        head,
        body,
    })
}

fn caller_key(head: &RequestHead) -> Option<&[u8]> {
    let value = head.headers.get(headers::AUTHORIZATION)?;
    let (scheme, key) = value.split_at_checked(headers::KEY_SCHEME.len())?;
    let is_key = scheme.eq_ignore_ascii_case(headers::KEY_SCHEME.as_bytes());
    let key = key.strip_prefix(b" ").filter(|_| is_key)?;
    Some(key.trim_ascii())
}
