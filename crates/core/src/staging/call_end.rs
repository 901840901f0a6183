use super::PieceEnd;
use crate::clock::TimeSpan;

/// Outcome of a call to a target of a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The target answered for each piece, in the order of the call.
    Answered(Vec<PieceEnd>),
    /// The target refused the call and did not run it.
    Refused {
        /// Time for which the target accepts no calls, if it gave one.
        closed_for: Option<TimeSpan>,
    },
    /// The call was not sent, since it would have exceeded the target's limit.
    OverLimit {
        /// Time after which the target may be called again.
        retry_after: TimeSpan,
    },
    /// The call failed or timed out. Its pieces may have been produced.
    Failed,
}
