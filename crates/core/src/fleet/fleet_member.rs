use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{IncarnationNumber, NodeId};

/// What a gateway says of itself, passed on by others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetMember {
    /// The node.
    pub node: NodeId,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Its run. A later start has a higher number.
    pub incarnation: IncarnationNumber,
    /// Rises with each round of gossip in which the node took part.
    pub heartbeat: u64,
    /// Size of its VM against others, as a share of a core.
    pub weight: f64,
    /// Whether it takes part in shared work. Not before it is ready and not
    /// once it stops.
    pub active: bool,
}
