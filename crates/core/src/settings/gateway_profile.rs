use std::net::SocketAddr;

use crate::{
    clock::TimeSpan,
    ids::{NodeId, ZoneName},
};

/// Settings that the platform gives to a gateway: identity, addresses and
/// limits.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayProfile {
    /// Id of this node.
    pub node: NodeId,
    /// Availability zone of this node.
    pub zone: ZoneName,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub readiness_address: SocketAddr,
    /// Listen address for other gateways.
    pub peer_address: SocketAddr,
    /// Peer addresses of gateways through which the other gateways are discovered.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Interval at which targets renew their records in the platform's store.
    pub renewal_interval: TimeSpan,
    /// CPU share of the VM, in cores.
    pub cores: f64,
    /// Maximum number of open file descriptors of the process.
    pub max_open_files: u32,
    /// Time from the termination signal until the process must have exited.
    pub grace_period: TimeSpan,
    /// Retry budget: extra attempts of all gateways together, as a share of the
    /// requests.
    pub retry_ratio: f64,
    /// Time window of the retry budget.
    pub retry_window: TimeSpan,
    /// Extra attempts of all gateways together that are allowed per window in
    /// addition to the share.
    pub retry_reserve: f64,
}
