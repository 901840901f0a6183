use super::{
    CostWeight,
    stage_v2::{SERVICE_KIND, StageV2},
};
use crate::{
    clock::TimeSpan,
    findings::{Placed, TableReader},
    ids::{ModelName, PoolName, StageName},
    units::TokenCount,
};

/// A stage in schema 1.
pub(super) struct StageV1 {
    name: Option<Placed<StageName>>,
    kind: Option<Placed<String>>,
    pool: Option<Placed<PoolName>>,
    repeatable: Option<Placed<bool>>,
    timeout_ms: Option<Placed<u64>>,
    cost: Option<Placed<CostWeight>>,
    model: Option<Placed<ModelName>>,
    adapter: Option<Placed<String>>,
    outcome_query: Option<Placed<bool>>,
}

impl StageV1 {
    /// Reads the fields; errors are reported to the log of `reader`.
    pub(super) fn read(mut reader: TableReader<'_>) -> Self {
        let kind: Option<Placed<String>> = reader.required("type");
        let name = kind.as_ref().map(|kind| kind.value.as_str());
        let repeatable = match name {
            Some(SERVICE_KIND) => reader.required("repeatable"),
            _ => reader.optional("repeatable"),
        };
        let model = match name {
            Some("generate") => reader.required("model"),
            _ => reader.optional("model"),
        };
        let stage = Self {
            name: reader.required("name"),
            kind,
            pool: reader.required("pool"),
            repeatable,
            timeout_ms: reader.optional("timeout_ms"),
            cost: reader.optional("cost"),
            model,
            adapter: reader.optional("adapter"),
            outcome_query: reader.optional("outcome_query"),
        };
        reader.finish();
        stage
    }

    /// Whether the stage generates tokens.
    pub(super) fn is_generate(&self) -> bool {
        self.kind
            .as_ref()
            .is_some_and(|kind| kind.value == "generate")
    }

    /// Upgrades to schema 2. `max_tokens` is the token limit of the pipeline,
    /// which only a stage that generates tokens takes over.
    pub(super) fn upgrade(self, max_tokens: Option<&Placed<TokenCount>>) -> StageV2 {
        let max_tokens = max_tokens.filter(|_| self.is_generate()).cloned();
        StageV2 {
            name: self.name,
            kind: self.kind,
            pool: self.pool,
            idempotent: self.repeatable,
            timeout: self
                .timeout_ms
                .map(|timeout| timeout.map(TimeSpan::from_millis)),
            cost_weight: self.cost,
            model: self.model,
            adapter: self.adapter,
            max_tokens,
            outcome_query: self.outcome_query,
        }
    }
}
