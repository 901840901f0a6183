use fastrand::Rng;

use super::{CallFailure, FailedAttempt, GiveUpReason, RetryBudget, RetryDecision};
use crate::clock::TimeSpan;

/// When a failed call is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRule {
    /// Attempts of one stage of one request, the first one included.
    pub attempt_limit: u32,
    /// Longest delay before the second attempt. Doubles with each further one.
    pub first_delay: TimeSpan,
    /// Longest delay of all.
    pub longest_delay: TimeSpan,
}

impl Default for RetryRule {
    fn default() -> Self {
        Self {
            attempt_limit: 3,
            first_delay: TimeSpan::from_millis(10),
            longest_delay: TimeSpan::from_millis(200),
        }
    }
}

impl RetryRule {
    /// Decides about a failed call. A retry is taken from the budget.
    #[must_use]
    pub fn decide(&self, ask: &FailedAttempt, budget: &RetryBudget) -> RetryDecision {
        if ask.failure == CallFailure::BadInput {
            return RetryDecision::GiveUp(GiveUpReason::BadInput);
        }
        if !ask.idempotent && !ask.failure.is_not_run() {
            return RetryDecision::GiveUp(GiveUpReason::MayHaveRun);
        }
        if ask.attempts >= self.attempt_limit {
            return RetryDecision::GiveUp(GiveUpReason::Attempts);
        }
        let after = self.delay(ask);
        if after + ask.needed > ask.remaining {
            return RetryDecision::GiveUp(GiveUpReason::Deadline);
        }
        if !budget.try_spend() {
            return RetryDecision::GiveUp(GiveUpReason::Budget);
        }
        RetryDecision::Retry { after }
    }

    /// A random delay below a bound that doubles with each attempt.
    fn delay(&self, ask: &FailedAttempt) -> TimeSpan {
        let doublings = ask.attempts.saturating_sub(1).min(16);
        let bound = (self.first_delay * (1 << doublings)).min(self.longest_delay);
        let millis = Rng::with_seed(ask.seed).u64(0..=bound.as_millis());
        TimeSpan::from_millis(millis)
    }
}
