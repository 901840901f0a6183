use serde::{Deserialize, Serialize};

use super::{PromptPart, ZoneResults};
use crate::{
    ids::{PoolName, TargetId},
    units::TokenCount,
};

/// Asks which engine should process a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineQuery {
    /// Service of the engines.
    pub service: PoolName,
    /// Identifier of the request.
    pub request: String,
    /// Parts at the start of the prompt that other requests share, in order.
    pub shared: Vec<PromptPart>,
    /// Number of tokens that belong to this request alone.
    pub own: TokenCount,
    /// Results of earlier stages that the engine fetches in addition to the
    /// prompt.
    pub results: Vec<ZoneResults>,
    /// Engines that must not be chosen.
    pub avoid: Vec<TargetId>,
}
