use std::sync::Arc;

use async_channel::Receiver;
use verbenahub_core::{
    protocol::{ErrorBody, ErrorCode},
    ticket::{KeptAnswer, RunClaim},
};

use super::{
    TicketCall, TicketUpdate,
    answer_encoding::{encode_refusal, encode_run_answer},
};
use crate::{
    process::NodeState,
    request::{
        AdmissionGuard, AnswerSink, CallerRequest, PipelineRun, RequestRefusal, count_request,
    },
};

/// Starts the only run of a ticket as a task, which continues when the caller
/// disconnects. The answer arrives on the returned channel.
pub(super) fn start_run(
    node: &Arc<NodeState>,
    claim: RunClaim,
    call: &TicketCall,
) -> Receiver<TicketUpdate> {
    let (sender, updates) = async_channel::bounded(1);
    let run = TicketRun {
        node: Arc::clone(node),
    };
    match run.admit(call) {
        Ok((request, seat)) => node.requests.spawn(async move {
            let answer = run.run(claim, &request, &seat).await;
            // Fails if the caller has disconnected.
            let _ = sender.try_send(TicketUpdate::Answer(answer));
        }),
        Err(refusal) => {
            let answer = encode_refusal(&refusal.with_request(call.id.clone()));
            node.tickets.finish(claim, &answer);
            let _ = sender.try_send(TicketUpdate::Answer(answer));
        }
    }
    updates
}

/// The run of a ticket on this node.
struct TicketRun {
    node: Arc<NodeState>,
}

impl TicketRun {
    /// Looks up the records of the request and admits it. A refusal ends the
    /// ticket: a caller that receives `not_run` may request a new one.
    fn admit(&self, call: &TicketCall) -> Result<(CallerRequest, AdmissionGuard), RequestRefusal> {
        let snapshot = self.node.config.snapshot();
        let missing = |what: &str| {
            let message = format!("The {what} of the ticket is gone.");
            RequestRefusal::not_run(ErrorCode::NotFound, message)
        };
        let workspace = snapshot
            .workspace(call.ticket.workspace())
            .ok_or_else(|| missing("workspace"))?;
        let pipeline = snapshot
            .pipeline(call.ticket.pipeline())
            .ok_or_else(|| missing("pipeline"))?;
        let request = CallerRequest {
            id: call.id.clone(),
            workspace: Arc::clone(workspace),
            pipeline: Arc::clone(pipeline),
            body: call.body.clone(),
            received_at: call.arrived,
            deadline: call.deadline.min(call.arrived + pipeline.deadline),
            span: call.span.clone(),
        };
        if request.body.len() as u64 > pipeline.body_limit.as_bytes() {
            let message = "The body is larger than the pipeline allows.";
            return Err(RequestRefusal::not_run(ErrorCode::TooLarge, message));
        }
        let seat = AdmissionGuard::admit(&self.node, &request)?;
        Ok((request, seat))
    }

    async fn run(
        &self,
        claim: RunClaim,
        request: &CallerRequest,
        seat: &AdmissionGuard,
    ) -> KeptAnswer {
        let (head_sender, _heads) = async_channel::bounded(1);
        let mut sink = AnswerSink::new(head_sender, None);
        let gate = self.node.tickets.gate(claim);
        let run = PipelineRun::new(&self.node, request, seat, Some(&gate));
        let end = run.run(&mut sink).await;
        count_request(&self.node, request, &end.outcome, None);
        let answer = encode_run_answer(&end.outcome, &end.output, request.pipeline.streams());
        self.node.tickets.finish(gate.into_claim(), &answer);
        request.span.set("outcome", answer.outcome);
        request.span.end();
        answer
    }
}

/// The answer to a caller whose deadline passes while its ticket is running.
pub(super) fn still_running(call: &TicketCall) -> RequestRefusal {
    let body = ErrorBody {
        request: Some(call.id.clone()),
        outcome: verbenahub_core::protocol::AnswerOutcome::OutcomeUnknown,
        code: ErrorCode::DeadlineExceeded,
        message: "The request still runs. Repeat the call with the same ticket.".to_owned(),
        retry_after_ms: None,
    };
    body.into()
}
