use serde::{Deserialize, Serialize};

use super::PromptStep;
use crate::ids::TargetId;

/// Tells how far one engine has come with a request.
///
/// Names the engine, since a request that one has turned away is soon at
/// another: news that comes late is of the earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptProgress {
    /// The request.
    pub request: String,
    /// The engine.
    pub engine: TargetId,
    /// Run of the engine that the request was sent to, if it is known.
    pub started_at: Option<u64>,
    /// How far it has come.
    pub step: PromptStep,
}
