use std::net::SocketAddr;

use crate::{
    clock::TimeSpan,
    ids::{NodeId, ZoneName},
};

/// What the platform tells a gateway about itself and its surroundings.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayProfile {
    /// The node.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness_address: SocketAddr,
    /// Where other gateways connect.
    pub peer_address: SocketAddr,
    /// Addresses of gateways that may help to find the others.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Processor share of the VM, in cores.
    pub cores: f64,
    /// File descriptors that the process may have open.
    pub max_open_files: u32,
    /// Time from the signal to stop to the end of the process.
    pub grace_period: TimeSpan,
    /// Extra attempts that all gateways together may make, as a share of the
    /// requests.
    pub retry_ratio: f64,
    /// Window over which extra attempts are counted.
    pub retry_window: TimeSpan,
    /// Extra attempts in a window that are allowed besides the share.
    pub retry_reserve: f64,
}
