use crate::{clock::TimeSpan, policy::health::CallOutcome};

/// Why a call to a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No byte of the call was sent.
    NotSent,
    /// The target reported that it did not run the call.
    Refused {
        /// Time after which the target may be called again, as it requested.
        retry_after: TimeSpan,
    },
    /// The target reported that the input is invalid.
    BadInput,
    /// The target reported that it failed.
    TargetFailed,
    /// The connection was lost after the call was sent.
    ConnectionLost,
    /// The call made no progress for longer than expected.
    Stalled,
}

impl CallFailure {
    /// Whether the call is known not to have run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused { .. })
    }

    /// The outcome that the failure counts as for the target's health.
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
