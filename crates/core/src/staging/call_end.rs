use super::PieceEnd;
use crate::clock::TimeSpan;

/// How a call to a stage's target ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The target answered for each piece, in the order of the call.
    Answered(Vec<PieceEnd>),
    /// The target refused the call and did not run it.
    Refused {
        /// Time for which it wants no other, if it said so.
        closed_for: Option<TimeSpan>,
    },
    /// The call failed or took too long; its pieces may have been produced.
    Failed,
}
