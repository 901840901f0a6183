use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{ModelName, PoolName, RegionName, ZoneName};

/// Value of a key `vms/{id}` in the membership list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// What the VM runs.
    pub role: VmRole,
    /// Address of the VM: the internal listen address of a node, or the address
    /// of a target.
    pub address: SocketAddr,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Whether the VM accepts new work.
    pub state: VmState,
    /// Pool of the target; nodes have none.
    #[serde(default)]
    pub pool: Option<PoolName>,
    /// Models that the target can load, if it is an engine.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Whether the target rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Maximum number of calls that the target runs concurrently, if declared.
    #[serde(default)]
    pub capacity: Option<u32>,
}

/// What a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// A node of this system.
    Node,
    /// A backend that runs stages.
    Target,
}

/// Whether a VM accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM accepts work.
    Live,
    /// The VM is leaving and accepts no new work.
    Leaving,
}
