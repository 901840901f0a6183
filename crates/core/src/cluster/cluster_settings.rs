use std::net::SocketAddr;

use crate::{
    feed::FeedLimits,
    ids::{IncarnationNumber, NodeId, ZoneName},
};

/// Identity and settings of a node's cluster machine.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Identifier of the node.
    pub node: NodeId,
    /// Internal address of the node.
    pub address: SocketAddr,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Incarnation of the process. Must increase with every start, for example
    /// by using the wall clock at the start.
    pub incarnation: IncarnationNumber,
    /// Internal addresses of the nodes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Size limits of each feed.
    pub limits: FeedLimits,
    /// Seed of the random number generator.
    pub rng_seed: u64,
}
