use std::cell::Cell;

use bytes::Bytes;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    policy::quarantine::PartKey,
    routes::{AuthResult, NotRunProof, SendHistory},
};
use verbenahub_platform::{decode_prompt_parts, headers};

use super::{ActiveRequest, GatewayResponse};
use crate::{http::RequestHead, process::Shared};

/// `Retry-After` of a node that doesn't know the current configuration yet. Most
/// other nodes do.
const NOT_CURRENT_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(300);

/// Maximum number of parts of a prompt that are tracked.
const MAX_TRACKED_PARTS: usize = 32;

/// Finds the route of a request, authenticates the caller and chooses the
/// service, all by the same version of the configuration.
///
/// # Errors
///
/// Returns the response to a request that is rejected.
pub(super) fn resolve_request(
    shared: &Shared,
    head: RequestHead,
    body: Bytes,
    received_at: ClockTime,
) -> Result<ActiveRequest, GatewayResponse> {
    let refuse_not_run = |code| {
        reject_unsent(|proof| GatewayResponse::not_run(proof, code, NOT_CURRENT_RETRY_AFTER))
    };
    let config = shared
        .config()
        .ok_or_else(|| refuse_not_run("no_configuration"))?;
    // A node that may have missed a configuration change can't be sure that a
    // route or key doesn't exist.
    let is_current = shared.store_connectivity.borrow().is_current(shared.now());
    let reject = |response: GatewayResponse| {
        if is_current {
            response
        } else {
            refuse_not_run("configuration_not_current")
        }
    };
    let host = head.headers.text("host").unwrap_or_default();
    let route = config.find(host, head.path()).cloned();
    let route = route.ok_or_else(|| reject(GatewayResponse::no_route()))?;
    let workspace = match config.keys.authenticate(caller_api_key(&head)) {
        AuthResult::Authenticated(workspace) => Some(workspace.clone()),
        AuthResult::NotRequired => None,
        AuthResult::Unauthenticated if route.public => None,
        AuthResult::Unauthenticated => return Err(reject(GatewayResponse::unknown_key())),
    };
    let id = head.headers.text(headers::REQUEST_ID).map(str::to_owned);
    let id = id.ok_or(GatewayResponse::bad_request("no_request_id"))?;
    let deadline = head.headers.number(headers::DEADLINE);
    let deadline = deadline.map_or(route.timeout, TimeSpan::from_millis);
    let elapsed = shared.record_deadline(&route, deadline);
    let service = route.pick_service(shared.random_fraction()).cloned();
    let service = service.ok_or_else(|| refuse_not_run("no_service"))?;
    let deadline = received_at + deadline.min(route.timeout);
    let cutoff = shared.request_cutoff.get();
    if cutoff.is_some_and(|cutoff| deadline > cutoff) {
        return Err(reject_unsent(GatewayResponse::stopping));
    }
    Ok(ActiveRequest {
        id,
        progress: Cell::default(),
        deadline,
        first_sent_at: received_at - elapsed,
        received_at,
        route,
        service,
        shared_parts: shared_parts(&head),
        workspace,
        config,
        head,
        body,
    })
}

/// The response to a request that no target has, and that won't be sent any more.
pub(super) fn reject_unsent<Respond>(respond: Respond) -> GatewayResponse
where
    Respond: FnOnce(NotRunProof) -> GatewayResponse,
{
    let proof = SendHistory::default().prove_not_run();
    proof.map_or_else(GatewayResponse::outcome_unknown, respond)
}

/// Keys of the parts of the prompt without the last one.
fn shared_parts(head: &RequestHead) -> Vec<PartKey> {
    let text = head.headers.text(headers::PROMPT_PARTS);
    let Some(parts) = text.and_then(decode_prompt_parts) else {
        return Vec::new();
    };
    let model = head.headers.text(headers::MODEL).unwrap_or_default();
    let shared = parts.iter().take(parts.len().saturating_sub(1));
    let keys = shared.take(MAX_TRACKED_PARTS);
    keys.map(|part| PartKey::new(model, part)).collect()
}

fn caller_api_key(head: &RequestHead) -> Option<&[u8]> {
    let value = head.headers.get(headers::AUTHORIZATION)?;
    let (scheme, key) = value.split_at_checked(headers::AUTH_SCHEME.len())?;
    let is_key = scheme.eq_ignore_ascii_case(headers::AUTH_SCHEME.as_bytes());
    let key = key.strip_prefix(b" ").filter(|_| is_key)?;
    Some(key.trim_ascii())
}
