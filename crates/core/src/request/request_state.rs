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

/// No target can have run anything of the request.
#[derive(Debug)]
pub enum Accepted {}

/// Targets may have run idempotent stages of the request.
#[derive(Debug)]
pub enum Sent {}

/// Targets may have run a non-idempotent stage of the request.
#[derive(Debug)]
pub enum EffectSent {}

/// A request, with what may be said about it in the type.
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
/// Once a byte may have gone to a target, this does not compile:
///
/// ```compile_fail,E0599
/// # use verbenahub_core::{ids::RequestId, protocol::ErrorCode, request::RequestState};
/// let state = RequestState::new(RequestId::new("r1").unwrap()).send();
/// let outcome = state.not_run(ErrorCode::Overloaded, "too much work", None);
/// ```
///
/// Nor can the state from before be used again:
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

/// The state after a target said that it did not run a call.
#[derive(Debug)]
#[must_use]
pub enum AfterRefusal {
    /// Nothing else was sent.
    Accepted(RequestState<Accepted>),
    /// Other calls of idempotent stages were sent.
    Sent(RequestState<Sent>),
    /// Another call of a non-idempotent stage was sent.
    EffectSent(RequestState<EffectSent>),
}

impl<S> RequestState<S> {
    /// The request.
    #[must_use]
    pub const fn request(&self) -> &RequestId {
        &self.request
    }

    /// The request ends with a whole answer.
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

    fn into_counted(self, counts: SendCounts) -> AfterRefusal {
        if counts.effects > 0 {
            AfterRefusal::EffectSent(self.into_state(counts))
        } else if counts.plain > 0 {
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
    /// Takes a request in.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            counts: SendCounts::default(),
            state: PhantomData,
        }
    }

    /// A call of an idempotent stage is about to be written.
    pub fn send(self) -> RequestState<Sent> {
        let counts = self.counts.with_plain();
        self.into_state(counts)
    }

    /// A call of a non-idempotent stage is about to be written.
    pub fn send_effect(self, _permit: &SpentPermit) -> RequestState<EffectSent> {
        let counts = self.counts.with_effect();
        self.into_state(counts)
    }

    /// The request ends without having run.
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
    /// Another call of an idempotent stage is about to be written.
    pub fn send(self) -> Self {
        let counts = self.counts.with_plain();
        self.into_state(counts)
    }

    /// A call of a non-idempotent stage is about to be written.
    pub fn send_effect(self, _permit: &SpentPermit) -> RequestState<EffectSent> {
        let counts = self.counts.with_effect();
        self.into_state(counts)
    }

    /// A target said that it did not run one of the calls.
    pub fn refused(self, _refusal: TargetRefusal) -> AfterRefusal {
        let counts = self.counts.without_plain();
        self.into_counted(counts)
    }

    /// The request ends because a target failed.
    #[must_use]
    pub fn failed(self, code: ErrorCode, message: &str) -> FinalOutcome {
        self.into_error(AnswerOutcome::Failed, code, message, None)
    }

    /// The request ends without news of a call.
    #[must_use]
    pub fn unknown(self, code: ErrorCode, message: &str) -> FinalOutcome {
        self.into_error(AnswerOutcome::OutcomeUnknown, code, message, None)
    }
}

impl RequestState<EffectSent> {
    /// The state that promises least, to stand in while another is computed.
    pub(super) fn least(request: RequestId) -> Self {
        Self {
            request,
            counts: SendCounts::default().with_effect(),
            state: PhantomData,
        }
    }

    /// Another call of an idempotent stage is about to be written.
    pub fn send(self) -> Self {
        let counts = self.counts.with_plain();
        self.into_state(counts)
    }

    /// Another call of a non-idempotent stage is about to be written.
    pub fn send_effect(self, _permit: &SpentPermit) -> Self {
        let counts = self.counts.with_effect();
        self.into_state(counts)
    }

    /// A target said that it did not run an idempotent stage.
    pub fn refused(self, _refusal: TargetRefusal) -> AfterRefusal {
        let counts = self.counts.without_plain();
        self.into_counted(counts)
    }

    /// A target said that it did not run a non-idempotent stage.
    pub fn effect_refused(self, _refusal: TargetRefusal) -> AfterRefusal {
        let counts = self.counts.without_effect();
        self.into_counted(counts)
    }

    /// A target refused the input of a non-idempotent stage, which therefore
    /// had no effect.
    pub fn effect_input_rejected(self) -> AfterRefusal {
        let counts = self.counts.with_rejected_effect();
        self.into_counted(counts)
    }

    /// The request ends without a whole answer. It must not start over, since
    /// a non-idempotent stage may have run.
    #[must_use]
    pub fn unknown(self, code: ErrorCode, message: &str) -> FinalOutcome {
        self.into_error(AnswerOutcome::OutcomeUnknown, code, message, None)
    }
}
