use thiserror::Error;

use crate::ids::AttemptNumber;

/// A new attempt at a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptPlan {
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Tokens held already, for `verbenahub-resume-offset`.
    pub resume_offset: u64,
}

/// The right to write one attempt to a target. Ask for it before the first
/// byte and hand it to whatever writes.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct SendToken {
    pub(super) attempt: AttemptNumber,
}

impl SendToken {
    /// The attempt that may be written.
    #[must_use]
    pub const fn attempt(&self) -> AttemptNumber {
        self.attempt
    }
}

/// Why an attempt may not start or be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartRefusal {
    /// The stage has ended.
    #[error("the stage has ended")]
    Ended,
    /// As many attempts are running as may run.
    #[error("as many attempts are running as may run at once")]
    ConcurrencyLimit,
    /// All attempts are used up.
    #[error("all attempts at the stage are used up")]
    Exhausted,
    /// The stage is not idempotent and may have run.
    #[error("the stage is not idempotent and may have run")]
    MayHaveRun,
    /// The stage is not idempotent and no permit for it was spent.
    #[error("the stage is not idempotent and no permit for it was spent")]
    NoPermit,
    /// The attempt is not running or was sent before.
    #[error("the attempt is not running or was sent before")]
    NotPending,
}
