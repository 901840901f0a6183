use crate::{clock::TimeSpan, protocol::ErrorCode};

/// Why a stage has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageFailure {
    /// Whether the end of each attempt is known.
    pub outcome_known: bool,
    /// The reason, for programs.
    pub code: ErrorCode,
    /// When a target wants to be asked again.
    pub retry_after: Option<TimeSpan>,
}
