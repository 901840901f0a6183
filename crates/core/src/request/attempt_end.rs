use crate::protocol::ErrorCode;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// No byte was written.
    NotSent,
    /// The target reported that it did not run the call.
    Refused,
    /// The target reported that the call failed.
    Failed,
    /// The target rejected the input as invalid.
    BadInput,
    /// The connection was lost or timed out; the call may have run.
    Lost,
    /// Another attempt was accepted or the stage ended; the call may have run.
    Cancelled,
    /// The attempt returned the result of the stage.
    Finished,
}

impl AttemptEnd {
    /// Whether it is known that the target did not run the call.
    pub(super) const fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused)
    }

    /// Whether it is known how the call ended, so that it cannot run any more.
    pub(super) const fn is_outcome_known(self) -> bool {
        !matches!(self, Self::Lost | Self::Cancelled)
    }

    /// The reason to report when no other attempt is made after this end.
    pub(super) const fn error_code(self) -> ErrorCode {
        match self {
            Self::NotSent => ErrorCode::NoTarget,
            Self::Refused => ErrorCode::Overloaded,
            Self::Failed | Self::Finished => ErrorCode::StageFailed,
            Self::BadInput => ErrorCode::BadRequest,
            Self::Lost | Self::Cancelled => ErrorCode::ConnectionLost,
        }
    }
}
