use std::collections::BTreeMap;

use crate::{
    ids::ModelName,
    protocol::{EngineOrder, EngineState},
};

/// A model that an engine should hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredModel {
    /// Version of the model's weights.
    pub version: String,
    /// Adapters of the model to hold.
    pub adapters: Vec<String>,
}

/// Models and adapters that an engine should hold. Models without a record are
/// neither loaded nor unloaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredEngineState {
    /// Models that the engine should hold.
    pub models: BTreeMap<ModelName, DesiredModel>,
    /// Models with a record that the engine should not hold.
    pub unwanted: Vec<ModelName>,
}

impl DesiredEngineState {
    /// The next load that brings an engine in `state` closer to this desired
    /// state, or `None` if nothing is missing. Models are loaded before adapters.
    #[must_use]
    pub fn next_load(&self, state: &EngineState) -> Option<EngineOrder> {
        let mut models = self.models.iter();
        models
            .find_map(|(name, desired)| missing_model(name, desired, state))
            .or_else(|| {
                let mut models = self.models.iter();
                models.find_map(|(name, desired)| missing_adapter(name, desired, state))
            })
    }

    /// A model that an engine in `state` holds and should not hold.
    #[must_use]
    pub fn unwanted_model(&self, state: &EngineState) -> Option<&ModelName> {
        let is_held = |name: &&ModelName| state.models.iter().any(|held| is_model(held, name));
        self.unwanted.iter().find(is_held)
    }
}

fn missing_model(
    name: &ModelName,
    desired: &DesiredModel,
    state: &EngineState,
) -> Option<EngineOrder> {
    let versioned_name = format!("{name}@{}", desired.version);
    (!state.models.contains(&versioned_name)).then(|| EngineOrder::LoadModel {
        model: name.clone(),
        version: desired.version.clone(),
    })
}

fn missing_adapter(
    name: &ModelName,
    desired: &DesiredModel,
    state: &EngineState,
) -> Option<EngineOrder> {
    let is_missing = |adapter: &&String| !state.adapters.contains(&format!("{name}/{adapter}"));
    let adapter = desired.adapters.iter().find(is_missing)?;
    Some(EngineOrder::LoadAdapter {
        model: name.clone(),
        adapter: adapter.clone(),
    })
}

/// Whether `held`, a model name with or without a version, names this model.
fn is_model(held: &str, name: &ModelName) -> bool {
    let held_name = held.split_once('@').map_or(held, |(model, _)| model);
    held_name == name.as_str()
}
