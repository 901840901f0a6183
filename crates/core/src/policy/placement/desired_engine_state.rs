use std::collections::BTreeMap;

use crate::{
    ids::ModelName,
    protocol::{EngineOrder, EngineState},
};

/// A model that an engine shall hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredModel {
    /// Version of its weights.
    pub version: String,
    /// Its adapters.
    pub adapters: Vec<String>,
}

/// What an engine shall hold. Models that no record names are left alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredEngineState {
    /// Models to hold.
    pub models: BTreeMap<ModelName, DesiredModel>,
    /// Models with a record that the engine shall not hold.
    pub unwanted: Vec<ModelName>,
}

impl DesiredEngineState {
    /// The next load that brings an engine nearer to what is wanted: first its
    /// models, then their adapters.
    #[must_use]
    pub fn next_load(&self, state: &EngineState) -> Option<EngineOrder> {
        let mut models = self.models.iter();
        models
            .find_map(|(name, wanted)| missing_model(name, wanted, state))
            .or_else(|| {
                let mut models = self.models.iter();
                models.find_map(|(name, wanted)| missing_adapter(name, wanted, state))
            })
    }

    /// A model that the engine holds and shall not hold.
    #[must_use]
    pub fn surplus(&self, state: &EngineState) -> Option<&ModelName> {
        let held = |name: &&ModelName| state.models.iter().any(|held| is_model(held, name));
        self.unwanted.iter().find(held)
    }
}

fn missing_model(
    name: &ModelName,
    wanted: &DesiredModel,
    state: &EngineState,
) -> Option<EngineOrder> {
    let full = format!("{name}@{}", wanted.version);
    (!state.models.contains(&full)).then(|| EngineOrder::LoadModel {
        model: name.clone(),
        version: wanted.version.clone(),
    })
}

fn missing_adapter(
    name: &ModelName,
    wanted: &DesiredModel,
    state: &EngineState,
) -> Option<EngineOrder> {
    let absent = |adapter: &&String| !state.adapters.contains(&format!("{name}/{adapter}"));
    let adapter = wanted.adapters.iter().find(absent)?;
    Some(EngineOrder::LoadAdapter {
        model: name.clone(),
        adapter: adapter.clone(),
    })
}

fn is_model(held: &str, name: &ModelName) -> bool {
    let found = held.split_once('@').map_or(held, |(model, _)| model);
    found == name.as_str()
}
