use serde::{Deserialize, Serialize};

use super::{PromptPart, ZoneResults};
use crate::{
    ids::{PoolName, TargetId},
    units::TokenCount,
};

/// Asks which engine should read a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineQuery {
    /// Service of the engines.
    pub service: PoolName,
    /// The request.
    pub request: String,
    /// Parts that other requests share, in their order.
    pub shared: Vec<PromptPart>,
    /// Size of what only this request has.
    pub own: TokenCount,
    /// What the engine reads beside the prompt.
    pub results: Vec<ZoneResults>,
    /// Engines that must not get it.
    pub avoid: Vec<TargetId>,
}
