use super::CallFailure;
use crate::clock::TimeSpan;

/// A failed call that might be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the stage may run twice.
    pub idempotent: bool,
    /// Why the call failed.
    pub failure: CallFailure,
    /// Attempts made so far.
    pub attempts: u32,
    /// Time left until the deadline.
    pub remaining: TimeSpan,
    /// Time that a further attempt and the stages after it are thought to
    /// need.
    pub needed: TimeSpan,
    /// Seed of the random part of the delay.
    pub seed: u64,
}
