use std::{io, net::SocketAddr, sync::Mutex, time::Duration};

use argh::FromArgs;
use verbenahub_core::clock::TimeSpan;

use super::{DEFAULT_OUTPUT_LIMIT, PoolHandler, PoolKind};
use crate::{
    load::{SlotQueue, TargetDesk},
    server::{HttpServer, ServerContext, ServerOptions},
};

/// Replica of a pool of encoders, retrievers or rerankers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pool")]
pub struct PoolCommand {
    /// what the replica does: encode, retrieve or rerank
    #[argh(option)]
    pub kind: PoolKind,
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "ServerOptions::default_listen()")]
    pub listen: SocketAddr,
    /// the process ends by itself after this time (default 600 s)
    #[argh(option, default = "ServerOptions::default_max_life()")]
    pub max_life: TimeSpan,
    /// seed of all chance (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// calls in execution at once (default 4)
    #[argh(option, default = "4")]
    pub slots: usize,
    /// calls that may wait (default 256)
    #[argh(option, default = "256")]
    pub queue: usize,
    /// time in execution, in milliseconds (default 10)
    #[argh(option, default = "10.0")]
    pub service_ms: f64,
    /// share by which the time in execution varies (default 0.2)
    #[argh(option, default = "0.2")]
    pub jitter: f64,
    /// lag of load reports, in milliseconds (default 0)
    #[argh(option, default = "0")]
    pub load_lag_ms: u64,
    /// bytes of the input that the output repeats (default 4096)
    #[argh(option, default = "DEFAULT_OUTPUT_LIMIT")]
    pub output_limit: usize,
}

impl PoolCommand {
    /// Runs the replica.
    ///
    /// # Errors
    ///
    /// Fails when the listener or the signal handler cannot be set up.
    pub fn run(self) -> io::Result<()> {
        let context = ServerContext::new(self.seed);
        let queue = SlotQueue::new(self.slots, self.queue);
        let service = Duration::from_secs_f64(self.service_ms.clamp(0.0, 1e6) / 1_000.0);
        let lag = TimeSpan::from_millis(self.load_lag_ms);
        let handler = PoolHandler {
            desk: TargetDesk::new(context.clone(), queue, lag, service),
            name: self.kind.to_string(),
            service,
            jitter: self.jitter,
            output_limit: self.output_limit,
            last: Mutex::default(),
        };
        let options = ServerOptions {
            listen: self.listen,
            max_life: self.max_life,
            seed: self.seed,
        };
        HttpServer::run(options, context, handler)
    }
}
