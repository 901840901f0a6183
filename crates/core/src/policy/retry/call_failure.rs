use crate::{clock::TimeSpan, policy::health::CallOutcome};

/// Why a call to a target has brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No byte of the call was sent.
    NotSent,
    /// The target says that it did not run the call.
    Refused {
        /// When it wants to be asked again.
        retry_after: TimeSpan,
    },
    /// The target says that the input is at fault.
    BadInput,
    /// The target says that it failed.
    TargetFailed,
    /// The connection broke after the call was sent.
    ConnectionLost,
    /// The call made no progress for longer than expected.
    Stalled,
}

impl CallFailure {
    /// Whether the call has certainly not run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused { .. })
    }

    /// What the failure says about the target's health.
    #[must_use]
    pub const fn outcome(self) -> CallOutcome {
        match self {
            Self::Refused { .. } => CallOutcome::Refused,
            Self::BadInput => CallOutcome::Answered,
            Self::Stalled => CallOutcome::Stalled,
            Self::NotSent | Self::TargetFailed | Self::ConnectionLost => CallOutcome::Failed,
        }
    }
}
