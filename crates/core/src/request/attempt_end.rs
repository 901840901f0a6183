use crate::protocol::ErrorCode;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// No byte was written.
    NotSent,
    /// The target said that it did not run the call.
    Refused,
    /// The target said that it failed.
    Failed,
    /// The target said that the input is at fault.
    BadInput,
    /// Nothing is known of the call.
    Lost,
    /// Another attempt was first.
    Cancelled,
    /// The attempt brought the result.
    Finished,
}

impl AttemptEnd {
    /// Whether the target certainly did not run the call.
    pub(super) const fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused)
    }

    /// Whether it is certain that nothing more comes of the call.
    pub(super) const fn is_outcome_known(self) -> bool {
        !matches!(self, Self::Lost | Self::Cancelled)
    }

    /// The reason to give when no attempt is left after this end.
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
