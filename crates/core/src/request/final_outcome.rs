use crate::{
    clock::TimeSpan,
    ids::RequestId,
    protocol::{AnswerOutcome, ErrorBody, ErrorCode},
};

/// The final outcome of a request, as reported to its caller.
///
/// Only [`super::RequestState`] creates it, so that it cannot report `not_run`
/// for a request that may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalOutcome {
    pub(super) request: RequestId,
    pub(super) outcome: AnswerOutcome,
    pub(super) error: Option<OutcomeError>,
}

/// Why a request has no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OutcomeError {
    pub(super) code: ErrorCode,
    pub(super) message: String,
    pub(super) retry_after: Option<TimeSpan>,
}

impl FinalOutcome {
    /// Outcome of the request.
    #[must_use]
    pub const fn outcome(&self) -> AnswerOutcome {
        self.outcome
    }

    /// Id of the request.
    #[must_use]
    pub const fn request(&self) -> &RequestId {
        &self.request
    }

    /// The error body for the caller, `None` if the answer is complete.
    #[must_use]
    pub fn error_body(&self) -> Option<ErrorBody> {
        let error = self.error.as_ref()?;
        Some(ErrorBody {
            request: Some(self.request.clone()),
            outcome: self.outcome,
            code: error.code,
            message: error.message.clone(),
            retry_after_ms: error.retry_after.map(TimeSpan::as_millis),
        })
    }
}
