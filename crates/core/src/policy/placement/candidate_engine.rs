use crate::ids::{ModelName, PoolName, TargetId};

/// An engine as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateEngine {
    /// The engine.
    pub target: TargetId,
    /// Its pool.
    pub pool: PoolName,
    /// Models that it can load.
    pub models: Vec<ModelName>,
    /// Whether it leaves.
    pub leaving: bool,
}
