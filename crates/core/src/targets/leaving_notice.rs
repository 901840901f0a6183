use serde::{Deserialize, Serialize};

use crate::{clock::TimeSpan, ids::TargetId};

/// A target's announcement that one of its runs is leaving, as nodes pass it on
/// to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The target.
    pub target: TargetId,
    /// Unix time of the start of the run in milliseconds, if it is known.
    pub started_at: Option<u64>,
    /// Time since the target's announcement.
    pub age: TimeSpan,
}
