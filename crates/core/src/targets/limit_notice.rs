use serde::{Deserialize, Serialize};

use super::{RequestLimit, TargetRecord};
use crate::{clock::TimeSpan, ids::TargetId};

/// What one run of a target last said about its limit, as nodes pass it on to each
/// other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The target.
    pub target: TargetId,
    /// Unix time of the start of the run in milliseconds, if it is known.
    pub started_at: Option<u64>,
    /// The limit, or `None` if the run has withdrawn it.
    pub limit: Option<RequestLimit>,
    /// Time since the target said so.
    pub age: TimeSpan,
}

impl LimitNotice {
    /// The notice of a run of which no statement about a limit is known.
    #[must_use]
    pub fn unstated(record: &TargetRecord) -> Self {
        Self {
            target: record.id.clone(),
            started_at: record.started_at,
            limit: None,
            age: TimeSpan::MAX,
        }
    }

    /// Whether the run has made a statement about its limit.
    #[must_use]
    pub fn is_stated(&self) -> bool {
        self.age < TimeSpan::MAX
    }
}
