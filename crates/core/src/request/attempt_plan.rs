use thiserror::Error;

use crate::ids::AttemptNumber;

/// A new attempt at a stage, before its call is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptPlan {
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Number of tokens already received, sent as `verbenahub-resume-offset`.
    pub resume_offset: u64,
}

/// Permission to write the call of one attempt to its target. It must be
/// obtained before the first byte is written.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct SendToken {
    pub(super) attempt: AttemptNumber,
}

impl SendToken {
    /// The attempt whose call may be written.
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
    /// The number of running attempts does not allow another one. A hedge is
    /// also refused when no attempt is running or a token was delivered.
    #[error("the running attempts do not allow another one")]
    ConcurrencyLimit,
    /// The limit of attempts is reached.
    #[error("the limit of attempts at the stage is reached")]
    Exhausted,
    /// The stage is not idempotent and an earlier attempt may have run.
    #[error("the stage is not idempotent and an earlier attempt may have run")]
    MayHaveRun,
    /// The stage is not idempotent and no permit for it was spent, or it is
    /// idempotent and a permit was spent.
    #[error("a permit must be spent for a non-idempotent stage and for no other")]
    NoPermit,
    /// The attempt has ended or was sent already.
    #[error("the attempt has ended or was sent already")]
    NotPending,
}
