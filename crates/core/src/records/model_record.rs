use crate::ids::{GenerationNumber, ModelName, PoolName};

/// A model that engines load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelRecord {
    /// Name of the model.
    pub name: ModelName,
    /// Generation number of the record.
    pub generation: GenerationNumber,
    /// Version of the weights.
    pub version: String,
    /// Adapters to load together with the model.
    pub adapters: Vec<String>,
    /// Desired number of replicas.
    pub replicas: u32,
    /// Pool of engines that load the model.
    pub pool: PoolName,
    /// Whether the model is out of service, so that no engine should load it.
    pub retired: bool,
}
