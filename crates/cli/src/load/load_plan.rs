use std::{net::SocketAddr, time::Duration};

use verbenahub_core::{clock::TimeSpan, units::RateLimit};

use super::{BurstSpec, LoadMix};

/// What load to put on which nodes.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Nodes, used in turn.
    pub nodes: Vec<SocketAddr>,
    /// Which requests.
    pub mix: LoadMix,
    /// Requests per second.
    pub rate: RateLimit,
    /// Another rate for some time.
    pub burst: Option<BurstSpec>,
    /// Time at the start that is not measured.
    pub warmup: Duration,
    /// Time that is measured.
    pub duration: Duration,
    /// Seed of arrivals, bodies and the mix.
    pub seed: u64,
    /// Most requests in flight; further ones are dropped and counted.
    pub in_flight: usize,
    /// Worker threads.
    pub threads: usize,
    /// Longest time for one request.
    pub timeout: TimeSpan,
}
