use serde::{Deserialize, Serialize};

use super::PromptStep;
use crate::ids::TargetId;

/// Reports how far an engine has come with a request.
///
/// Names the engine because a request that one engine rejects is soon sent to
/// another: a report that arrives late concerns the earlier engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptProgress {
    /// Identifier of the request.
    pub request: String,
    /// The engine.
    pub engine: TargetId,
    /// Start time of the engine process that the request was sent to, if it is
    /// known.
    pub started_at: Option<u64>,
    /// Latest step of the request at this engine.
    pub step: PromptStep,
}
