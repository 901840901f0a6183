use std::{io, net::SocketAddr};

use argh::FromArgs;
use verbenahub_core::{
    clock::TimeSpan,
    units::{ByteSize, RateLimit},
};

use super::WeightsHandler;
use crate::server::{HttpServer, ServerContext, ServerOptions};

/// Weight store with a rate limit.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "weight-store")]
pub struct WeightsCommand {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "ServerOptions::default_listen()")]
    pub listen: SocketAddr,
    /// the process ends by itself after this time (default 600 s)
    #[argh(option, default = "ServerOptions::default_max_life()")]
    pub max_life: TimeSpan,
    /// seed of all chance (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// downloads over all engines (default "2 /s")
    #[argh(option, default = "default_rate()")]
    pub rate: RateLimit,
    /// size of a download (default "64 KiB")
    #[argh(option, default = "ByteSize::from_kib(64)")]
    pub size: ByteSize,
}

/// Downloads per second by default.
const DEFAULT_RATE: f64 = 2.0;

fn default_rate() -> RateLimit {
    RateLimit::per_second(DEFAULT_RATE).unwrap_or_default()
}

impl WeightsCommand {
    /// Runs the weight store.
    ///
    /// # Errors
    ///
    /// Fails when the listener or the signal handler cannot be set up.
    pub fn run(self) -> io::Result<()> {
        let context = ServerContext::new(self.seed);
        let handler = WeightsHandler::new(context.clone(), self.rate, self.size);
        let options = ServerOptions {
            listen: self.listen,
            max_life: self.max_life,
            seed: self.seed,
        };
        HttpServer::run(options, context, handler)
    }
}
