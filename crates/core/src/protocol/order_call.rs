use serde::{Deserialize, Serialize};

use crate::ids::{ModelName, RevisionNumber};

/// Body of a call that gives an order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCall {
    /// Fencing token: the published revision from which the order was derived.
    pub fence: RevisionNumber,
    /// The order.
    pub order: EngineOrder,
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a version of a model.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Version of its weights.
        version: String,
    },
    /// Unload a model.
    UnloadModel {
        /// The model.
        model: ModelName,
    },
    /// Load an adapter for a loaded model.
    LoadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: String,
    },
    /// Change the role of the engine.
    SetRole {
        /// The new role: `prefill`, `decode` or `both`.
        role: String,
    },
}

/// State of an engine: its role and what it has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Highest fencing token that the engine has seen.
    pub fence: RevisionNumber,
    /// Loaded models as `name@version`.
    pub models: Vec<String>,
    /// Loaded adapters as `model/adapter`.
    pub adapters: Vec<String>,
    /// Role of the engine.
    pub role: String,
    /// Models that are being loaded.
    pub loading: Vec<String>,
}
