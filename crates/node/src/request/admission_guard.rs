use std::sync::Arc;

use verbenahub_core::{
    clock::TimeSpan,
    policy::{
        WorkspaceHash,
        admission::{
            AdmissionId, RefusalReason, RequestRefusal as AdmissionRefusal, StartDecision,
        },
    },
    protocol::ErrorCode,
};

use super::{CallerRequest, RequestRefusal};
use crate::process::{
    NodeState,
    admission::{PipelineFlight, SlotWait},
};

/// When to come back to a pipeline that has too many requests in flight.
const FULL_RETRY: TimeSpan = TimeSpan::from_millis(200);

/// The place of an admitted request; given up when dropped.
#[derive(Debug)]
pub struct AdmissionGuard {
    node: Arc<NodeState>,
    entry: AdmissionId,
    _flight: PipelineFlight,
}

impl AdmissionGuard {
    /// Asks for a place for a request. The answer comes at once.
    ///
    /// # Errors
    ///
    /// Fails with the answer for the caller.
    pub fn admit(node: &Arc<NodeState>, request: &CallerRequest) -> Result<Self, RequestRefusal> {
        let flights = node.admission.flights();
        let flight = flights.enter(&request.pipeline).ok_or_else(|| {
            let message = "The pipeline has as many requests in flight as its record allows.";
            let refusal = RequestRefusal::not_run(ErrorCode::Overloaded, message);
            refusal.with_retry_after(FULL_RETRY)
        })?;
        let workspace = WorkspaceHash::of(&request.workspace.id);
        let now = node.now();
        let arrival = node
            .admission
            .arrive(workspace, &request.pipeline, request.deadline, now);
        let entry = arrival.map_err(|refusal| refuse(&refusal))?;
        Ok(Self {
            node: Arc::clone(node),
            entry,
            _flight: flight,
        })
    }

    /// Waits for a slot for the present stage. False when the stage could not
    /// end in time any more.
    pub async fn start_stage(&self) -> bool {
        let (sender, receiver) = async_channel::bounded(1);
        match self
            .node
            .admission
            .start(self.entry, sender, self.node.now())
        {
            StartDecision::Started => true,
            StartDecision::Expired => false,
            StartDecision::Waiting => receiver.recv().await == Ok(SlotWait::Started),
        }
    }

    /// Gives the slot of the present stage back and goes on to the next one.
    pub fn finish_stage(&self, took: TimeSpan) {
        self.node
            .admission
            .finish(self.entry, took, self.node.now());
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.node.admission.leave(self.entry, self.node.now());
    }
}

fn refuse(refusal: &AdmissionRefusal) -> RequestRefusal {
    let (code, message) = match refusal.reason {
        RefusalReason::DeadlineTooShort => (
            ErrorCode::DeadlineUnreachable,
            "The stages need longer than the deadline allows.",
        ),
        RefusalReason::Overload => (
            ErrorCode::Overloaded,
            "The request would wait too long to finish in time.",
        ),
        RefusalReason::Full => (ErrorCode::Overloaded, "Too many requests are under way."),
    };
    let answer = RequestRefusal::not_run(code, message);
    match refusal.retry_after {
        Some(span) => answer.with_retry_after(span),
        None => answer,
    }
}
