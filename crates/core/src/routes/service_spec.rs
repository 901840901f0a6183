use serde::{Deserialize, Serialize};

use super::StageService;
use crate::{clock::TimeSpan, ids::PoolName, targets::RequestLimit, units::TokenCount};

/// A service that handles requests or runs stages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service, under which its targets register.
    pub name: PoolName,
    /// Capacity and call times of its targets, if the service runs a stage.
    pub stage: Option<StageService>,
    /// Prompt memory of each of its targets, in tokens, if they are model engines.
    pub engine_memory: Option<TokenCount>,
    /// Time for which its targets are cold after their start. Zero if they never are.
    #[serde(default)]
    pub cold_start: TimeSpan,
    /// Requests a second that a cold target tolerates, if that is limited.
    #[serde(default)]
    pub cold_limit: Option<RequestLimit>,
}
