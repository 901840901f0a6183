use verbenahub_core::policy::health::CallOutcome;
use verbenahub_platform::headers;

use super::{ActiveRequest, OwnAnswer, RelayAnswer, target_send::TargetSend};
use crate::{
    process::Shared,
    targets::{SendError, TargetExchange, within},
};

/// Status from which an answer says that the target failed.
const FAILURE_STATUS: u16 = 500;

/// Gets the whole answer to a request that is not a stream.
///
/// # Errors
///
/// Gives the gateway's own answer if no target's can be used.
pub(super) async fn run_plain(
    shared: &Shared,
    request: &ActiveRequest,
) -> Result<RelayAnswer, OwnAnswer> {
    let mut send = TargetSend::new(shared, request);
    // A failure that a target has signed is better than none.
    let mut failure: Option<RelayAnswer> = None;
    loop {
        let exchange = match send.begin(None).await {
            Ok(exchange) => exchange,
            Err(answer) => return failure.ok_or(answer),
        };
        let left = request.left(shared.now());
        let answer = within(left, take_answer(exchange)).await;
        send.history.record_may_have_run();
        match answer {
            Some(Ok(answer)) if answer.head.status < FAILURE_STATUS => return Ok(answer),
            Some(Ok(answer)) => {
                if !send.may_retry() {
                    return Ok(answer);
                }
                failure = Some(answer);
            }
            Some(Err(error)) => {
                slog::warn!(shared.log, "request: Answer not usable.";
                    "request" => &request.id, "error" => %error);
                if !send.may_retry() {
                    return failure.ok_or_else(|| send.give_up("target_failed"));
                }
            }
            None => return failure.ok_or_else(|| send.give_up("timeout")),
        }
    }
}

/// Reads an answer to its end. An answer that is not the target's own, as far
/// as can be told, is an error.
pub(super) async fn take_answer(mut exchange: TargetExchange) -> Result<RelayAnswer, SendError> {
    let body = exchange.collect().await?;
    let fields = &exchange.head.headers;
    let is_success = exchange.head.status < 300;
    let defect = if is_success && fields.get(headers::RECEIPT).is_none() {
        Some("no signature")
    } else if fields.get("content-encoding").is_some() {
        Some("encoded body")
    } else {
        None
    };
    if let Some(defect) = defect {
        exchange.set_outcome(CallOutcome::Failed);
        return Err(SendError::Malformed(defect.to_owned()));
    }
    if exchange.is_turned_away() {
        exchange.set_outcome(CallOutcome::Refused);
    } else if exchange.head.status >= FAILURE_STATUS {
        exchange.set_outcome(CallOutcome::Failed);
    }
    Ok(RelayAnswer {
        head: exchange.head.clone(),
        body,
    })
}
