use bytes::Bytes;

use super::{StageFailure, StageOutput, StaleReason};
use crate::ids::AttemptNumber;

/// Reaction of a stage to an event.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub struct StageStep {
    /// How the stage continues.
    pub verdict: StageVerdict,
    /// Attempts to cancel at their targets. Their connections must not be
    /// reused.
    pub cancels: Vec<AttemptNumber>,
}

/// How a stage continues after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageVerdict {
    /// Wait for the attempts that are running.
    Wait,
    /// Forward these tokens.
    Deliver {
        /// Number of tokens of the stream before these.
        offset: u64,
        /// Number of tokens.
        tokens: u64,
        /// Their text.
        text: Bytes,
    },
    /// Ignore the event.
    Ignore(StaleReason),
    /// No attempt is running and another may start.
    Retry,
    /// The stage has its result.
    Finish(StageOutput),
    /// The stage has ended without a result.
    GiveUp(StageFailure),
}

impl From<StageVerdict> for StageStep {
    fn from(verdict: StageVerdict) -> Self {
        Self {
            verdict,
            cancels: Vec::new(),
        }
    }
}
