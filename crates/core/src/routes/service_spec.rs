use serde::{Deserialize, Serialize};

use super::StageService;
use crate::{ids::PoolName, units::TokenCount};

/// A service that requests or stages are sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service; its targets register under it.
    pub name: PoolName,
    /// How its targets work as a stage, if it is one.
    pub stage: Option<StageService>,
    /// Memory of each of its targets for prompts, if they are model engines.
    pub engine_memory: Option<TokenCount>,
}
