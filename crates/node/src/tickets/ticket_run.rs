use std::sync::Arc;

use async_channel::Receiver;
use verbenahub_core::{
    protocol::{ErrorBody, ErrorCode},
    ticket::{KeptAnswer, RunClaim},
};

use super::{
    TicketCall, TicketUpdate,
    answer_encoding::{answer_of_refusal, answer_of_run},
};
use crate::{
    process::NodeState,
    request::{
        AdmissionGuard, AnswerSink, CallerRequest, PipelineRun, RequestRefusal, count_request,
    },
};

/// Starts the one run of a ticket as a task, which goes on when the caller
/// hangs up. The answer comes over the channel.
pub(super) fn start_run(
    node: &Arc<NodeState>,
    claim: RunClaim,
    call: &TicketCall,
) -> Receiver<TicketUpdate> {
    let (sender, news) = async_channel::bounded(1);
    let run = TicketRun {
        node: Arc::clone(node),
    };
    match run.admit(call) {
        Ok((request, seat)) => node.requests.spawn(async move {
            let answer = run.run(claim, &request, &seat).await;
            // The caller may have hung up.
            let _ = sender.try_send(TicketUpdate::Answer(answer));
        }),
        Err(refusal) => {
            let answer = answer_of_refusal(&refusal.with_request(call.id.clone()));
            node.tickets.finish(claim, &answer);
            let _ = sender.try_send(TicketUpdate::Answer(answer));
        }
    }
    news
}

/// What the run of a ticket needs of its node.
struct TicketRun {
    node: Arc<NodeState>,
}

impl TicketRun {
    /// Finds the records and a seat. A refusal ends the ticket: whoever is
    /// told that it was not run may start over.
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
        let (head, _heads) = async_channel::bounded(1);
        let mut sink = AnswerSink::new(head, None);
        let gate = self.node.tickets.gate(claim);
        let run = PipelineRun::new(&self.node, request, seat, Some(&gate));
        let end = run.run(&mut sink).await;
        count_request(&self.node, request, &end.outcome, None);
        let answer = answer_of_run(&end.outcome, &end.output, request.pipeline.streams());
        self.node.tickets.finish(gate.into_claim(), &answer);
        request.span.set("outcome", answer.outcome);
        request.span.end();
        answer
    }
}

/// What a caller is told whose deadline passes while a ticket runs.
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
