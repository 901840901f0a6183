use crate::{clock::TimeSpan, protocol::ErrorCode};

/// Why a stage has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageFailure {
    /// Whether it is known of every attempt how it ended. Otherwise a target may
    /// still run the call.
    pub outcome_known: bool,
    /// Machine-readable reason.
    pub code: ErrorCode,
    /// Delay after which a retry is worthwhile, if known.
    pub retry_after: Option<TimeSpan>,
}
