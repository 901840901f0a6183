use serde::{Deserialize, Serialize};

use super::StageService;
use crate::{ids::PoolName, units::TokenCount};

/// A service that handles requests or runs stages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service, under which its targets register.
    pub name: PoolName,
    /// Capacity and call times of its targets, if the service runs a stage.
    pub stage: Option<StageService>,
    /// Prompt memory of each of its targets, in tokens, if they are model engines.
    pub engine_memory: Option<TokenCount>,
}
