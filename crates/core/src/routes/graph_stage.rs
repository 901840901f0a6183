use serde::{Deserialize, Serialize};

use crate::ids::PoolName;

/// One stage of the graph that must complete before the request itself runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GraphStage {
    /// Service whose targets run the stage.
    pub service: PoolName,
    /// Indexes of the stages whose results this stage needs. All are lower than
    /// the stage's own index.
    pub after: Vec<usize>,
    /// Approximate size of the result of one piece, in bytes.
    pub result_bytes: u64,
}
