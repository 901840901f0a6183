use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{IncarnationNumber, NodeId};

/// State that a gateway publishes about itself. Other gateways pass it on by
/// gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetMember {
    /// Id of the node.
    pub node: NodeId,
    /// Address at which other nodes reach it.
    pub address: SocketAddr,
    /// Incarnation of the node. Each restart has a higher number.
    pub incarnation: IncarnationNumber,
    /// Number of gossip rounds that the node has started in this incarnation.
    pub heartbeat: u64,
    /// Relative capacity of its VM, in cores.
    pub weight: f64,
    /// Whether the node takes part in shared work: from when it is ready until
    /// it begins to stop.
    pub active: bool,
}
