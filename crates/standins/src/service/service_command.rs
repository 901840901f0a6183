use std::{io, net::SocketAddr, time::Duration};

use argh::FromArgs;
use verbenahub_core::clock::TimeSpan;

use super::{ServiceHandler, ServiceLedger};
use crate::{
    load::{SlotQueue, TargetDesk},
    pool::DEFAULT_OUTPUT_LIMIT,
    server::{HttpServer, ServerContext, ServerOptions},
};

/// Replica of a plain service. It runs each call that it gets, also doubles.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceCommand {
    /// name of the service, which its answers begin with
    #[argh(option)]
    pub name: String,
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
    /// offer the outcomes of calls under their idempotency keys
    #[argh(switch)]
    pub outcome_query: bool,
}

impl ServiceCommand {
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
        let handler = ServiceHandler {
            desk: TargetDesk::new(context.clone(), queue, lag, service),
            ledger: ServiceLedger::default(),
            name: self.name,
            service,
            jitter: self.jitter,
            output_limit: self.output_limit,
            outcome_query: self.outcome_query,
        };
        let options = ServerOptions {
            listen: self.listen,
            max_life: self.max_life,
            seed: self.seed,
        };
        HttpServer::run(options, context, handler)
    }
}
