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

/// Retry delay sent to callers of a pipeline that has too many requests in
/// flight.
const PIPELINE_FULL_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(200);

/// Keeps a request admitted. Dropping it removes the request from admission
/// control.
#[derive(Debug)]
pub struct AdmissionGuard {
    node: Arc<NodeState>,
    admission_id: AdmissionId,
    _flight: PipelineFlight,
}

impl AdmissionGuard {
    /// Admits a request or rejects it, without waiting.
    ///
    /// # Errors
    ///
    /// Returns the error response for the caller if the request is rejected.
    pub fn admit(node: &Arc<NodeState>, request: &CallerRequest) -> Result<Self, RequestRefusal> {
        let flights = node.admission.flights();
        let flight = flights.enter(&request.pipeline).ok_or_else(|| {
            let message = "The pipeline has as many requests in flight as its record allows.";
            let refusal = RequestRefusal::not_run(ErrorCode::Overloaded, message);
            refusal.with_retry_after(PIPELINE_FULL_RETRY_AFTER)
        })?;
        let workspace = WorkspaceHash::of(&request.workspace.id);
        let now = node.now();
        let admission = node
            .admission
            .arrive(workspace, &request.pipeline, request.deadline, now);
        let admission_id = admission.map_err(|refusal| refuse(&refusal))?;
        Ok(Self {
            node: Arc::clone(node),
            admission_id,
            _flight: flight,
        })
    }

    /// Waits for a slot for the current stage. Returns false if the stage can
    /// no longer finish before the deadline.
    pub async fn start_stage(&self) -> bool {
        let (sender, receiver) = async_channel::bounded(1);
        match self
            .node
            .admission
            .start(self.admission_id, sender, self.node.now())
        {
            StartDecision::Started => true,
            StartDecision::Expired => false,
            StartDecision::Waiting => receiver.recv().await == Ok(SlotWait::Started),
        }
    }

    /// Releases the slot of the current stage, which ran for `took`, and
    /// advances to the next stage.
    pub fn finish_stage(&self, took: TimeSpan) {
        self.node
            .admission
            .finish(self.admission_id, took, self.node.now());
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.node
            .admission
            .leave(self.admission_id, self.node.now());
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
