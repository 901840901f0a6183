use std::net::SocketAddr;

use slog::Logger;
use verbenahub_core::{cluster::ClusterSettings, settings::ClusterSecret};

use crate::process::ProcessClock;

/// What the driver of the cluster needs.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// What the node knows of itself and its cluster.
    pub settings: ClusterSettings,
    /// Addresses of the configuration service.
    pub config_service: Vec<SocketAddr>,
    /// Addresses of the membership list.
    pub membership_service: Vec<SocketAddr>,
    /// Secret that all nodes share.
    pub secret: ClusterSecret,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// The log.
    pub log: Logger,
}
