use std::sync::Arc;

use verbenahub_core::policy::health::CallOutcome;
use verbenahub_platform::headers;

use super::{
    ActiveRequest, GatewayResponse, TargetResponse, answer_phase::AnswerPhase,
    target_sender::TargetSender,
};
use crate::{
    http::ResponseHead,
    process::Shared,
    targets::{SendError, TargetExchange, within},
};

/// Lowest status that counts as a failure of the target.
const FAILURE_STATUS: u16 = 500;

/// Sends a request that is not a stream and reads the complete response.
///
/// # Errors
///
/// Returns the gateway's own response if no target gave a usable one.
pub(super) async fn run_plain(
    shared: &Shared,
    request: &ActiveRequest,
) -> Result<TargetResponse, GatewayResponse> {
    let mut sender = TargetSender::new(shared, request);
    // A signed error response of a target is preferred to one of the gateway.
    let mut failure: Option<TargetResponse> = None;
    loop {
        let exchange = match sender.open_exchange(None).await {
            Ok(exchange) => exchange,
            Err(response) => return failure.ok_or(response),
        };
        let left = request.time_left(shared.now());
        let record = Arc::clone(exchange.record());
        let response = within(left, read_response(exchange)).await;
        sender.history.record_may_have_run();
        match &response {
            Some(Ok(response)) if response.head.status < FAILURE_STATUS => {
                let quarantine = &shared.quarantine;
                quarantine.record_answer(&request.shared_parts, shared.now());
            }
            Some(Err(SendError::ConnectionLost(reason))) => {
                sender.record_broken_answer(&record, AnswerPhase::Head, reason);
            }
            Some(Ok(_) | Err(_)) | None => {}
        }
        match response {
            Some(Ok(response)) if response.head.status < FAILURE_STATUS => return Ok(response),
            Some(Ok(response)) => {
                if !sender.may_retry() {
                    return Ok(response);
                }
                failure = Some(response);
            }
            Some(Err(error)) => {
                slog::warn!(shared.log, "request: Response of the target is unusable.";
                    "request" => &request.id, "error" => %error);
                if !sender.may_repeat().await {
                    return failure.ok_or_else(|| sender.failure_response("target_failed"));
                }
            }
            None => return failure.ok_or_else(|| sender.failure_response("timeout")),
        }
    }
}

/// Reads a response to its end. A success without a signature, or with an
/// encoded body, is treated as not coming from the target and is an error.
pub(super) async fn read_response(
    mut exchange: TargetExchange,
) -> Result<TargetResponse, SendError> {
    let body = exchange.collect().await?;
    if let Some(defect) = response_defect(&exchange.head) {
        exchange.set_outcome(CallOutcome::Failed);
        return Err(SendError::Malformed(defect.to_owned()));
    }
    if exchange.is_temporary_refusal() {
        exchange.set_outcome(CallOutcome::Refused);
    } else if exchange.head.status >= FAILURE_STATUS {
        exchange.set_outcome(CallOutcome::Failed);
    }
    Ok(TargetResponse {
        head: exchange.head.clone(),
        body,
    })
}

/// Why a response, by its head, is not the target's own, if it isn't: a success
/// without a signature, or an encoded body.
pub(super) fn response_defect(head: &ResponseHead) -> Option<&'static str> {
    let is_success = head.status < 300;
    if is_success && head.headers.get(headers::RESPONSE_SIGNATURE).is_none() {
        Some("no signature")
    } else if head.headers.get("content-encoding").is_some() {
        Some("encoded body")
    } else {
        None
    }
}
