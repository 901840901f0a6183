use super::SetNumber;
use crate::clock::TimeSpan;

/// Why a set of pieces brought no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetFailure {
    /// Its time is over.
    Late,
    /// More late sets wait than there will be time for.
    Crowded {
        /// When those before it will be done.
        retry_after: TimeSpan,
    },
    /// Results that it needs no longer exist.
    InputGone,
    /// Another node collects for its service now. None of it was begun.
    Moved,
    /// Its pieces failed as often as they may be tried.
    Failed,
}

/// A set of pieces that is done with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SetEnd {
    /// The set.
    pub set: SetNumber,
    /// The names of the results by number of piece, or why there are none.
    pub outcome: Result<Vec<String>, SetFailure>,
    /// Results that were produced and that nobody will use.
    pub unused: Vec<String>,
}
