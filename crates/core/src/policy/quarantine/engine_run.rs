use serde::{Deserialize, Serialize};

use crate::{ids::TargetId, targets::TargetRecord};

/// One run of an engine, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineRun {
    /// The engine.
    pub engine: TargetId,
    /// Unix time of the start of the run in milliseconds, if it is known.
    pub started_at: Option<u64>,
}

impl EngineRun {
    /// The run that a record describes.
    #[must_use]
    pub fn of(record: &TargetRecord) -> Self {
        Self {
            engine: record.id.clone(),
            started_at: record.started_at,
        }
    }
}
