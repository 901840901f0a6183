use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use verbenahub_core::{
    clock::TimeSpan,
    policy::health::CallOutcome,
    staging::{CallEnd, PieceEnd, StageCall},
    targets::TargetRecord,
};
use verbenahub_platform::{PieceRequest, decode_stage_run, encode_stage_run, headers, paths};

use super::{StageRequest, stage_collector::CollectorQueue};
use crate::{
    http::HeaderList,
    process::Shared,
    targets::{
        CallPurpose, PermitDenied, PermitRequest, SendError, TargetCall, TargetExchange, within,
    },
};

/// Runs one planned call to a target of a stage and reports its end to the queue.
#[derive(Debug)]
pub(super) struct StageCallRun {
    queue: Rc<CollectorQueue>,
    call: StageCall,
}

impl StageCallRun {
    pub(super) const fn new(queue: Rc<CollectorQueue>, call: StageCall) -> Self {
        Self { queue, call }
    }

    pub(super) async fn run(self, shared: &Shared) {
        let begun = shared.now();
        let service = self.queue.service().to_string();
        let pieces = self.call.pieces.len();
        #[allow(clippy::cast_precision_loss)] // A call has some hundred pieces.
        let observed = pieces as f64;
        let metrics = &shared.metrics;
        metrics
            .call_pieces
            .with_label_values(&[&service])
            .observe(observed);
        let registered = shared.registry.borrow().get(&self.call.target).cloned();
        let end = match registered {
            Some(record) => self.send(shared, &record).await,
            None => Ok(CallEnd::Refused { closed_for: None }),
        };
        let (end, label) = match end {
            Ok(end @ CallEnd::Answered(_)) => (end, "answered"),
            Ok(end @ CallEnd::OverLimit { .. }) => (end, "over_limit"),
            Ok(end) => (end, "refused"),
            Err(error) if error.is_not_run() => (CallEnd::Failed, "not_sent"),
            Err(error) => (CallEnd::Failed, error.label()),
        };
        metrics
            .stage_calls
            .with_label_values(&[&service, label])
            .inc();
        slog::info!(shared.log, "stage: Call ended.";
            "service" => service, "call" => self.call.number.0, "target" => %self.call.target,
            "pieces" => pieces, "waiting_pieces" => self.call.waiting,
            "room_left" => %self.call.room_left, "end" => label, "took" => %shared.now().since(begun));
        self.queue.finish(shared, self.call.number, end);
    }

    async fn send(
        &self,
        shared: &Shared,
        record: &Arc<TargetRecord>,
    ) -> Result<CallEnd, SendError> {
        if let closed_for @ Some(_) = Self::backoff_remaining(shared, record) {
            return Ok(CallEnd::Refused { closed_for });
        }
        let requests: Vec<Option<Rc<StageRequest>>> = self
            .call
            .pieces
            .iter()
            .map(|piece| self.queue.request_of(piece.set))
            .collect();
        let items: Vec<PieceRequest<'_>> = self
            .call
            .pieces
            .iter()
            .zip(&requests)
            .filter_map(|(piece, request)| {
                let request = request.as_ref()?;
                Some(PieceRequest {
                    request: &request.request,
                    stage: request.stage,
                    piece: piece.piece,
                    time_left: piece.time_left,
                    input: &request.input,
                })
            })
            .collect();
        // If a request was dropped since the call was planned, the call is not sent
        // and counts as refused. The target would report the outcomes in the order
        // of the pieces sent, which could not be matched to those of the call.
        if items.len() < self.call.pieces.len() {
            return Ok(CallEnd::Refused { closed_for: None });
        }
        let body =
            encode_stage_run(&items).map_err(|error| SendError::NotSent(error.to_string()))?;
        let body = Bytes::from(body);
        let mut fields = HeaderList::default();
        fields.push("Host", record.address.to_string());
        fields.push(headers::EXPECT_TARGET, record.id.to_string());
        fields.push("Content-Type", "application/json");
        let call = TargetCall {
            method: b"POST",
            target: paths::STAGE_RUN.as_bytes(),
            headers: fields,
            body: Some(&body),
            request: None,
            purpose: CallPurpose::Stage,
            head_timeout: self.call.timeout,
        };
        let permit = PermitRequest {
            record,
            purpose: CallPurpose::Stage,
            request: None,
            patience: TimeSpan::ZERO,
        };
        let permit = match shared.permits.acquire(shared, permit).await {
            Ok(permit) => permit,
            Err(PermitDenied::OverLimit { retry_after }) => {
                return Ok(CallEnd::OverLimit { retry_after });
            }
            Err(PermitDenied::Departed) => return Ok(CallEnd::Refused { closed_for: None }),
        };
        let begun = shared.now();
        let mut exchange = TargetExchange::begin(shared, permit, call).await?;
        // Responses to calls name no request, so they can't be told apart by that.
        exchange.hold_connection();
        let left = self.call.timeout.saturating_sub(shared.now().since(begun));
        let answer = within(left, exchange.collect()).await;
        if exchange.head.status != 200 {
            self.release_unless_copy(shared, &mut exchange);
            if exchange.head.headers.get(headers::NOT_RUN).is_some() {
                exchange.set_outcome(CallOutcome::Refused);
                let closed_for = Self::backoff_remaining(shared, record);
                return Ok(CallEnd::Refused { closed_for });
            }
            exchange.set_outcome(CallOutcome::Failed);
            let status = exchange.head.status;
            return Err(SendError::Malformed(format!("status {status}")));
        }
        let answer = answer.unwrap_or(Err(SendError::Stalled))?;
        let ends =
            decode_stage_run(&answer).map_err(|error| SendError::Malformed(error.to_string()))?;
        if ends.len() != items.len() {
            return Err(SendError::Malformed("wrong number of pieces".to_owned()));
        }
        let mut results = ends.iter().filter_map(PieceEnd::result).peekable();
        let has_results = results.peek().is_some();
        if !exchange.record_results(results) {
            return Err(SendError::Malformed("answer to an earlier call".to_owned()));
        }
        if has_results {
            exchange.release_connection();
        } else {
            self.release_unless_copy(shared, &mut exchange);
        }
        Ok(CallEnd::Answered(ends))
    }

    /// Keeps the connection of a response without results, unless the response may be
    /// a late copy of an earlier one. The call may then be running: its connection is
    /// closed, so that its results reach nobody, and its pieces are made again.
    fn release_unless_copy(&self, shared: &Shared, exchange: &mut TargetExchange) {
        if exchange.is_reused() {
            slog::info!(shared.log, "stage: Closed a connection, the response may be a copy.";
                "service" => %self.queue.service(), "call" => self.call.number.0,
                "target" => %self.call.target, "status" => exchange.head.status);
        } else {
            exchange.release_connection();
        }
    }

    /// Time for which the target still accepts no calls, if it asked for one.
    fn backoff_remaining(shared: &Shared, record: &TargetRecord) -> Option<TimeSpan> {
        let backoff = shared
            .loads
            .borrow()
            .backoff_remaining(record, shared.now());
        Some(backoff).filter(|span| !span.is_zero())
    }
}
