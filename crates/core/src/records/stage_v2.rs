use super::CostWeight;
use crate::{
    clock::TimeSpan,
    findings::{Placed, TableReader},
    ids::{ModelName, PoolName, StageName},
    units::TokenCount,
};

/// Kind of stage that must specify whether it is idempotent.
pub(super) const SERVICE_KIND: &str = "service";

/// A stage in schema 2.
pub(super) struct StageV2 {
    pub(super) name: Option<Placed<StageName>>,
    pub(super) kind: Option<Placed<String>>,
    pub(super) pool: Option<Placed<PoolName>>,
    pub(super) idempotent: Option<Placed<bool>>,
    pub(super) timeout: Option<Placed<TimeSpan>>,
    pub(super) cost_weight: Option<Placed<CostWeight>>,
    pub(super) model: Option<Placed<ModelName>>,
    pub(super) adapter: Option<Placed<String>>,
    pub(super) max_tokens: Option<Placed<TokenCount>>,
    pub(super) outcome_query: Option<Placed<bool>>,
}

impl StageV2 {
    /// Reads the fields; errors are reported to the log of `reader`.
    pub(super) fn read(mut reader: TableReader<'_>) -> Self {
        let kind: Option<Placed<String>> = reader.required("kind");
        let name = kind.as_ref().map(|kind| kind.value.as_str());
        let idempotent = match name {
            Some(SERVICE_KIND) => reader.required("idempotent"),
            _ => reader.optional("idempotent"),
        };
        let (model, max_tokens) = match name {
            Some("generate") => (reader.required("model"), reader.required("max_tokens")),
            _ => (reader.optional("model"), reader.optional("max_tokens")),
        };
        let stage = Self {
            name: reader.required("name"),
            kind,
            pool: reader.required("pool"),
            idempotent,
            timeout: reader.optional_text("timeout"),
            cost_weight: reader.optional("cost_weight"),
            model,
            adapter: reader.optional("adapter"),
            max_tokens,
            outcome_query: reader.optional("outcome_query"),
        };
        reader.finish();
        stage
    }
}
