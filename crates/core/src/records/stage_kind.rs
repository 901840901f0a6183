use crate::{ids::ModelName, units::TokenCount};

/// What a stage does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageKind {
    /// Encodes photos or texts as vectors.
    Encode,
    /// Retrieves documents.
    Retrieve,
    /// Ranks retrieved documents.
    Rerank,
    /// Generates tokens with a model on an engine.
    Generate {
        /// Model that generates the tokens.
        model: ModelName,
        /// Adapter of the model, if one is used.
        adapter: Option<String>,
        /// Maximum number of tokens of an answer.
        max_tokens: TokenCount,
    },
    /// Calls any other service.
    Service {
        /// Whether the service can be queried for the outcome of a call by its
        /// idempotency key.
        outcome_query: bool,
    },
}

impl StageKind {
    /// Name of the kind, as used in records and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Encode => "encode",
            Self::Retrieve => "retrieve",
            Self::Rerank => "rerank",
            Self::Generate { .. } => "generate",
            Self::Service { .. } => "service",
        }
    }

    /// Whether the stage generates tokens.
    #[must_use]
    pub const fn is_generate(&self) -> bool {
        matches!(self, Self::Generate { .. })
    }
}
