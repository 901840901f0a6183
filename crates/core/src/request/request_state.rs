use std::marker::PhantomData;

use super::{
    TargetRefusal,
    final_outcome::{FinalOutcome, OutcomeError},
    send_counts::SendCounts,
};
use crate::{
    clock::TimeSpan,
    ids::RequestId,
    protocol::{AnswerOutcome, ErrorCode},
    ticket::SpentPermit,
};

/// No target can have run any part of the request.
#[derive(Debug)]
pub enum Accepted {}

/// Targets may have run idempotent stages of the request.
#[derive(Debug)]
pub enum Sent {}

/// Targets may have run a non-idempotent stage of the request.
#[derive(Debug)]
pub enum EffectSent {}

/// A request whose possible outcomes are limited by its type.
///
/// Only an accepted request can end as `not_run`:
///
/// ```
/// # use verbenahub_core::{ids::RequestId, protocol::ErrorCode, request::RequestState};
/// let state = RequestState::new(RequestId::new("r1").unwrap());
/// let outcome = state.not_run(ErrorCode::Overloaded, "too much work", None);
/// assert_eq!(outcome.outcome().to_string(), "not_run");
/// ```
///
/// Once a byte may have been written to a target, this does not compile:
///
/// ```compile_fail,E0599
/// # use verbenahub_core::{ids::RequestId, protocol::ErrorCode, request::RequestState};
/// let state = RequestState::new(RequestId::new("r1").unwrap()).send();
/// let outcome = state.not_run(ErrorCode::Overloaded, "too much work", None);
/// ```
///
/// Nor can an earlier state be used again:
///
/// ```compile_fail,E0382
/// # use verbenahub_core::{ids::RequestId, protocol::ErrorCode, request::RequestState};
/// let state = RequestState::new(RequestId::new("r1").unwrap());
/// let sent = state.send();
/// let outcome = state.not_run(ErrorCode::Overloaded, "too much work", None);
/// ```
#[derive(Debug)]
#[must_use]
pub struct RequestState<S> {
    request: RequestId,
    counts: SendCounts,
    state: PhantomData<S>,
}

/// The state after a target reported not to have run a call.
#[derive(Debug)]
#[must_use]
pub enum AfterRefusal {
    /// No other call may have run.
    Accepted(RequestState<Accepted>),
    /// Other calls to idempotent stages may have run.
    Sent(RequestState<Sent>),
    /// Another call to a non-idempotent stage may have run.
    EffectSent(RequestState<EffectSent>),
}

impl<S> RequestState<S> {
    /// Id of the request.
    #[must_use]
    pub const fn request(&self) -> &RequestId {
        &self.request
    }

    /// Ends the request as `done`, with a complete answer.
    #[must_use]
    pub fn done(self) -> FinalOutcome {
        FinalOutcome {
            request: self.request,
            outcome: AnswerOutcome::Done,
            error: None,
        }
    }

    fn into_state<T>(self, counts: SendCounts) -> RequestState<T> {
        RequestState {
            request: self.request,
            counts,
            state: PhantomData,
        }
    }

    fn into_state_for(self, counts: SendCounts) -> AfterRefusal {
        if counts.non_idempotent > 0 {
            AfterRefusal::EffectSent(self.into_state(counts))
        } else if counts.idempotent > 0 {
            AfterRefusal::Sent(self.into_state(counts))
        } else {
            AfterRefusal::Accepted(self.into_state(counts))
        }
    }

    fn into_error(
        self,
        outcome: AnswerOutcome,
        code: ErrorCode,
        message: &str,
        retry_after: Option<TimeSpan>,
    ) -> FinalOutcome {
        let error = OutcomeError {
            code,
            message: message.to_owned(),
            retry_after,
        };
        FinalOutcome {
            request: self.request,
            outcome,
            error: Some(error),
        }
    }
}

impl RequestState<Accepted> {
    /// Creates the state of a request before any call is sent.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            counts: SendCounts::default(),
            state: PhantomData,
        }
    }

    /// Records that a call to an idempotent stage is about to be written.
    pub fn send(self) -> RequestState<Sent> {
        let counts = self.counts.with_idempotent();
        self.into_state(counts)
    }

    /// Records that a call to a non-idempotent stage is about to be written.
    pub fn send_effect(self, _permit: &SpentPermit) -> RequestState<EffectSent> {
        let counts = self.counts.with_non_idempotent();
        self.into_state(counts)
    }

    /// Ends the request as `not_run`.
    #[must_use]
    pub fn not_run(
        self,
        code: ErrorCode,
        message: &str,
        retry_after: Option<TimeSpan>,
    ) -> FinalOutcome {
        self.into_error(AnswerOutcome::NotRun, code, message, retry_after)
    }
}

impl RequestState<Sent> {
    /// Records that another call to an idempotent stage is about to be written.
    pub fn send(self) -> Self {
        let counts = self.counts.with_idempotent();
        self.into_state(counts)
    }

    /// Records that a call to a non-idempotent stage is about to be written.
    pub fn send_effect(self, _permit: &SpentPermit) -> RequestState<EffectSent> {
        let counts = self.counts.with_non_idempotent();
        self.into_state(counts)
    }

    /// Records that a target reported not to have run one of the calls.
    pub fn refused(self, _refusal: TargetRefusal) -> AfterRefusal {
        let counts = self.counts.without_idempotent();
        self.into_state_for(counts)
    }

    /// Ends the request as `failed`. The outcome of every call must be known.
    #[must_use]
    pub fn failed(self, code: ErrorCode, message: &str) -> FinalOutcome {
        self.into_error(AnswerOutcome::Failed, code, message, None)
    }

    /// Ends the request as `outcome_unknown`, because the outcome of a call is
    /// unknown.
    #[must_use]
    pub fn unknown(self, code: ErrorCode, message: &str) -> FinalOutcome {
        self.into_error(AnswerOutcome::OutcomeUnknown, code, message, None)
    }
}

impl RequestState<EffectSent> {
    /// The state with the fewest possible outcomes. It is held while the next
    /// state is computed, so that a panic cannot leave `not_run` possible.
    pub(super) fn fallback(request: RequestId) -> Self {
        Self {
            request,
            counts: SendCounts::default().with_non_idempotent(),
            state: PhantomData,
        }
    }

    /// Records that another call to an idempotent stage is about to be written.
    pub fn send(self) -> Self {
        let counts = self.counts.with_idempotent();
        self.into_state(counts)
    }

    /// Records that another call to a non-idempotent stage is about to be
    /// written.
    pub fn send_effect(self, _permit: &SpentPermit) -> Self {
        let counts = self.counts.with_non_idempotent();
        self.into_state(counts)
    }

    /// Records that a target reported not to have run an idempotent call.
    pub fn refused(self, _refusal: TargetRefusal) -> AfterRefusal {
        let counts = self.counts.without_idempotent();
        self.into_state_for(counts)
    }

    /// Records that a target reported not to have run a non-idempotent call.
    pub fn effect_refused(self, _refusal: TargetRefusal) -> AfterRefusal {
        let counts = self.counts.without_non_idempotent();
        self.into_state_for(counts)
    }

    /// Records that a target rejected the input of a non-idempotent call, which
    /// therefore had no effect.
    pub fn effect_input_rejected(self) -> AfterRefusal {
        let counts = self.counts.with_rejected_effect();
        self.into_state_for(counts)
    }

    /// Ends the request as `outcome_unknown`, without a complete answer. The
    /// caller must not start over, since a non-idempotent stage may have run.
    #[must_use]
    pub fn unknown(self, code: ErrorCode, message: &str) -> FinalOutcome {
        self.into_error(AnswerOutcome::OutcomeUnknown, code, message, None)
    }
}
