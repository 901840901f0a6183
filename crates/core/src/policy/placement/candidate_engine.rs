use crate::ids::{ModelName, PoolName, TargetId};

/// An engine that models can be placed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateEngine {
    /// Identifier of the engine.
    pub target: TargetId,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// Models that it is able to load.
    pub models: Vec<ModelName>,
    /// Whether it is leaving. Such an engine gets no models.
    pub leaving: bool,
}
