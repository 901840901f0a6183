use serde::{Deserialize, Serialize};

use crate::ids::PoolName;

/// One stage of the work that comes before a request can run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GraphStage {
    /// Pool whose targets do the work.
    pub service: PoolName,
    /// Positions of the stages whose results the stage needs. All are smaller
    /// than the stage's own.
    pub after: Vec<usize>,
    /// Approximate size of the result of one piece, in bytes.
    pub result_bytes: u64,
}
