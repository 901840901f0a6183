use std::{io, net::SocketAddr, sync::Mutex, time::Duration};

use argh::FromArgs;
use verbenahub_core::clock::TimeSpan;

use super::{CacheLog, EngineHandler, EnginePace, OrderBook, PrefixCache, WeightSource};
use crate::{
    load::{SlotQueue, TargetDesk},
    server::{HttpServer, ServerContext, ServerOptions},
};

/// Model engine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineCommand {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "ServerOptions::default_listen()")]
    pub listen: SocketAddr,
    /// the process ends by itself after this time (default 600 s)
    #[argh(option, default = "ServerOptions::default_max_life()")]
    pub max_life: TimeSpan,
    /// seed of all chance (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// streams in the batch at most (default 8)
    #[argh(option, default = "8")]
    pub slots: usize,
    /// calls that may wait (default 256)
    #[argh(option, default = "256")]
    pub queue: usize,
    /// time for a token of a stream alone, in milliseconds (default 5)
    #[argh(option, default = "5.0")]
    pub token_ms: f64,
    /// share by which each further stream lengthens the time for a token (default 0.03)
    #[argh(option, default = "0.03")]
    pub batch_slope: f64,
    /// time to prefill 1 KiB of a prompt, in milliseconds (default 2)
    #[argh(option, default = "2.0")]
    pub prefill_ms: f64,
    /// blocks of 256 bytes in the prefix cache (default 1024)
    #[argh(option, default = "1024")]
    pub cache_blocks: usize,
    /// lag of cache events, in milliseconds (default 0)
    #[argh(option, default = "0")]
    pub cache_lag_ms: u64,
    /// share of cache events that are lost (default 0)
    #[argh(option, default = "0.0")]
    pub cache_gap_share: f64,
    /// lag of load reports, in milliseconds (default 0)
    #[argh(option, default = "0")]
    pub load_lag_ms: u64,
    /// refuse orders with a lower fencing number than the highest seen
    #[argh(switch)]
    pub checks_fence: bool,
    /// a model held from the start, as name@version; can be repeated
    #[argh(option)]
    pub model: Vec<String>,
    /// refuse models that are not loaded
    #[argh(switch)]
    pub strict_models: bool,
    /// time to load a model after its download, in milliseconds (default 300)
    #[argh(option, default = "300.0")]
    pub load_ms: f64,
    /// address of the weight store
    #[argh(option)]
    pub weights: Option<SocketAddr>,
}

impl EngineCommand {
    /// Runs the engine.
    ///
    /// # Errors
    ///
    /// Fails when the listener or the signal handler cannot be set up.
    pub fn run(self) -> io::Result<()> {
        let context = ServerContext::new(self.seed);
        let queue = SlotQueue::new(self.slots, self.queue);
        let lag = TimeSpan::from_millis(self.load_lag_ms);
        let cache_lag = TimeSpan::from_millis(self.cache_lag_ms);
        let service = from_ms(self.token_ms) * TYPICAL_TOKENS;
        let handler = EngineHandler {
            desk: TargetDesk::new(context.clone(), queue, lag, service),
            pace: EnginePace {
                token: from_ms(self.token_ms),
                batch_slope: self.batch_slope.clamp(0.0, 1e3),
                prefill_per_kib: from_ms(self.prefill_ms),
            },
            cache: Mutex::new(PrefixCache::new(self.cache_blocks)),
            events: Mutex::new(CacheLog::new(cache_lag, self.cache_gap_share, self.seed)),
            orders: Mutex::new(OrderBook::new(self.checks_fence, self.model)),
            weights: WeightSource {
                store: self.weights,
                load: from_ms(self.load_ms),
            },
            strict_models: self.strict_models,
        };
        let options = ServerOptions {
            listen: self.listen,
            max_life: self.max_life,
            seed: self.seed,
        };
        HttpServer::run(options, context, handler)
    }
}

/// Tokens of a typical answer, for the first load report.
const TYPICAL_TOKENS: u32 = 60;

fn from_ms(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.clamp(0.0, 1e6) / 1_000.0)
}
