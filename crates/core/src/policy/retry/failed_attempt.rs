use super::CallFailure;
use crate::clock::TimeSpan;

/// A failed attempt that may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the stage may run more than once.
    pub idempotent: bool,
    /// Why the attempt failed.
    pub failure: CallFailure,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Time remaining until the deadline.
    pub remaining: TimeSpan,
    /// Predicted time of a further attempt and of the stages after it.
    pub needed: TimeSpan,
    /// Seed of the random delay.
    pub seed: u64,
}
