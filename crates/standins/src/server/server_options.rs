use std::net::SocketAddr;

use verbenahub_core::clock::TimeSpan;

/// What every stand-in is started with.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// After this time the process ends by itself.
    pub max_life: TimeSpan,
    /// Seed of all chance in the stand-in.
    pub seed: u64,
}

impl ServerOptions {
    /// Longest life of a stand-in that was started without a limit.
    pub const DEFAULT_MAX_LIFE: TimeSpan = TimeSpan::from_secs(600);

    /// The address that a stand-in listens on by default.
    #[must_use]
    pub fn default_listen() -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 0))
    }

    /// The life of a stand-in by default.
    #[must_use]
    pub fn default_max_life() -> TimeSpan {
        Self::DEFAULT_MAX_LIFE
    }
}
