use fastrand::Rng;

use super::{CallFailure, FailedAttempt, GiveUpReason, RetryBudget, RetryDecision};
use crate::clock::TimeSpan;

/// Parameters of retries: when a failed attempt is retried, and after which
/// delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRule {
    /// Maximum number of attempts at one stage of one request, the first one
    /// included.
    pub attempt_limit: u32,
    /// Maximum delay before the second attempt. Doubles with each further
    /// attempt.
    pub first_delay: TimeSpan,
    /// Maximum delay before any attempt.
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
    /// Decides whether a failed attempt is retried. A retry is taken from the
    /// budget.
    #[must_use]
    pub fn decide(&self, attempt: &FailedAttempt, budget: &RetryBudget) -> RetryDecision {
        if attempt.failure == CallFailure::BadInput {
            return RetryDecision::GiveUp(GiveUpReason::BadInput);
        }
        if !attempt.idempotent && !attempt.failure.is_not_run() {
            return RetryDecision::GiveUp(GiveUpReason::MayHaveRun);
        }
        if attempt.attempts >= self.attempt_limit {
            return RetryDecision::GiveUp(GiveUpReason::Attempts);
        }
        let after = self.delay(attempt);
        if after + attempt.needed > attempt.remaining {
            return RetryDecision::GiveUp(GiveUpReason::Deadline);
        }
        if !budget.try_spend() {
            return RetryDecision::GiveUp(GiveUpReason::Budget);
        }
        RetryDecision::Retry { after }
    }

    /// Exponential backoff with full jitter: a random delay up to a bound that
    /// doubles with each attempt.
    fn delay(&self, attempt: &FailedAttempt) -> TimeSpan {
        let doublings = attempt.attempts.saturating_sub(1).min(16);
        let bound = (self.first_delay * (1 << doublings)).min(self.longest_delay);
        let millis = Rng::with_seed(attempt.seed).u64(0..=bound.as_millis());
        TimeSpan::from_millis(millis)
    }
}
