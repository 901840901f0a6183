use std::mem;

use super::{
    Accepted, AfterRefusal, EffectSent, FinalOutcome, RequestState, Sent, StageFailure,
    TargetRefusal,
};
use crate::{
    clock::TimeSpan,
    ids::RequestId,
    protocol::{AnswerOutcome, ErrorCode},
    ticket::SpentPermit,
};

/// State of a request for code that knows it only at run time.
#[derive(Debug)]
pub enum RequestPhase {
    /// No target can have run any part of the request.
    Accepted(RequestState<Accepted>),
    /// Targets may have run idempotent stages.
    Sent(RequestState<Sent>),
    /// Targets may have run a non-idempotent stage.
    EffectSent(RequestState<EffectSent>),
}

impl RequestPhase {
    /// Creates the state of a request before any call is sent.
    #[must_use]
    pub fn new(request: RequestId) -> Self {
        Self::Accepted(RequestState::new(request))
    }

    /// Id of the request.
    #[must_use]
    pub const fn request(&self) -> &RequestId {
        match self {
            Self::Accepted(state) => state.request(),
            Self::Sent(state) => state.request(),
            Self::EffectSent(state) => state.request(),
        }
    }

    /// Outcome that the caller is told if the request fails now.
    /// `outcome_known` says whether it is known of every call how it ended.
    #[must_use]
    pub const fn error_outcome(&self, outcome_known: bool) -> AnswerOutcome {
        match self {
            Self::Accepted(_) => AnswerOutcome::NotRun,
            Self::Sent(_) if outcome_known => AnswerOutcome::Failed,
            Self::Sent(_) | Self::EffectSent(_) => AnswerOutcome::OutcomeUnknown,
        }
    }

    /// Records that a call is about to be written: to a non-idempotent stage if
    /// a permit was spent on it, to an idempotent stage otherwise.
    pub fn send(&mut self, permit: Option<&SpentPermit>) {
        self.advance(|phase| match (phase, permit) {
            (Self::Accepted(state), None) => Self::Sent(state.send()),
            (Self::Sent(state), None) => Self::Sent(state.send()),
            (Self::EffectSent(state), None) => Self::EffectSent(state.send()),
            (Self::Accepted(state), Some(permit)) => Self::EffectSent(state.send_effect(permit)),
            (Self::Sent(state), Some(permit)) => Self::EffectSent(state.send_effect(permit)),
            (Self::EffectSent(state), Some(permit)) => Self::EffectSent(state.send_effect(permit)),
        });
    }

    /// Records that a target reported not to have run an idempotent call.
    pub fn refused(&mut self, refusal: TargetRefusal) {
        self.advance(|phase| match phase {
            Self::Accepted(state) => Self::Accepted(state),
            Self::Sent(state) => state.refused(refusal).into(),
            Self::EffectSent(state) => state.refused(refusal).into(),
        });
    }

    /// Records that a target reported not to have run a non-idempotent call.
    pub fn effect_refused(&mut self, refusal: TargetRefusal) {
        self.advance(|phase| match phase {
            Self::EffectSent(state) => state.effect_refused(refusal).into(),
            other => other,
        });
    }

    /// Records that a target rejected the input of a non-idempotent call, which
    /// therefore had no effect.
    pub fn effect_input_rejected(&mut self) {
        self.advance(|phase| match phase {
            Self::EffectSent(state) => state.effect_input_rejected().into(),
            other => other,
        });
    }

    /// Ends the request as `done` after its last stage has finished.
    #[must_use]
    pub fn done(self) -> FinalOutcome {
        match self {
            Self::Accepted(state) => state.done(),
            Self::Sent(state) => state.done(),
            Self::EffectSent(state) => state.done(),
        }
    }

    /// Ends the request after a stage failed: as not run, failed or unknown,
    /// whichever the state and the failure allow.
    #[must_use]
    pub fn stage_failed(self, failure: &StageFailure, message: &str) -> FinalOutcome {
        match self {
            Self::Accepted(state) => state.not_run(failure.code, message, failure.retry_after),
            Self::Sent(state) if failure.outcome_known => state.failed(failure.code, message),
            Self::Sent(state) => state.unknown(failure.code, message),
            Self::EffectSent(state) => state.unknown(failure.code, message),
        }
    }

    /// Ends the request for a reason of this node, before its first stage or
    /// between two stages: as not run, failed or unknown, whichever the state
    /// allows.
    #[must_use]
    pub fn give_up(
        self,
        code: ErrorCode,
        message: &str,
        retry_after: Option<TimeSpan>,
    ) -> FinalOutcome {
        let failure = StageFailure {
            outcome_known: true,
            code,
            retry_after,
        };
        self.stage_failed(&failure, message)
    }

    /// Replaces the state by the result of `transition`. If that panics, the
    /// fallback state remains, which never reports `not_run`.
    fn advance<F>(&mut self, transition: F)
    where
        F: FnOnce(Self) -> Self,
    {
        let fallback = Self::EffectSent(RequestState::fallback(self.request().clone()));
        let phase = mem::replace(self, fallback);
        *self = transition(phase);
    }
}

impl From<AfterRefusal> for RequestPhase {
    fn from(after: AfterRefusal) -> Self {
        match after {
            AfterRefusal::Accepted(state) => Self::Accepted(state),
            AfterRefusal::Sent(state) => Self::Sent(state),
            AfterRefusal::EffectSent(state) => Self::EffectSent(state),
        }
    }
}
