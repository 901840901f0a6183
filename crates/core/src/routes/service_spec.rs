use serde::{Deserialize, Serialize};

use super::StageService;
use crate::ids::PoolName;

/// A service that requests or stages are sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service; its targets register under it.
    pub name: PoolName,
    /// How its targets work as a stage, if it is one.
    pub stage: Option<StageService>,
    /// Whether its targets are model engines.
    pub is_engine: bool,
}
