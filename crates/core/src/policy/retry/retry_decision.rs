use crate::clock::TimeSpan;

/// Whether a failed attempt is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another target.
    Retry {
        /// Delay before the next attempt.
        after: TimeSpan,
    },
    /// Report the failure.
    GiveUp(GiveUpReason),
}

/// Why a failed attempt is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The call may have run and is not idempotent.
    MayHaveRun,
    /// The input is invalid; another target would report the same.
    BadInput,
    /// The maximum number of attempts is reached.
    Attempts,
    /// A further attempt would end after the deadline.
    Deadline,
    /// The retry budget is used up.
    Budget,
}
