use super::SetNumber;
use crate::clock::TimeSpan;

/// Why a set of pieces ended without results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetFailure {
    /// Its deadline has passed or can no longer be met.
    Late,
    /// More late sets wait than can be served before their deadlines.
    Crowded {
        /// Expected time until the sets ahead of it are done, capped.
        retry_after: TimeSpan,
    },
    /// Results that it needs no longer exist.
    InputGone,
    /// Another node is the collector now. None of the set's pieces has run.
    Moved,
    /// Calls with its pieces have failed more often than they may be retried.
    Failed,
}

/// The end of a set of pieces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SetEnd {
    /// The set.
    pub set: SetNumber,
    /// Names of the results in the order of the pieces, or why there are none.
    pub outcome: Result<Vec<String>, SetFailure>,
    /// Names of results that were produced but will not be used.
    pub unused: Vec<String>,
}
