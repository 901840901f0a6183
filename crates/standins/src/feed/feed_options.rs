use std::{io, net::SocketAddr};

use verbenahub_core::clock::TimeSpan;

use super::FeedHandler;
use crate::server::{HttpServer, ServerContext, ServerOptions};

/// What a feed is started with.
#[derive(Clone, Copy, Debug)]
pub struct FeedOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// After this time the process ends by itself.
    pub max_life: TimeSpan,
    /// Time from a change until readers see it.
    pub lag: TimeSpan,
}

/// Feeds leave nothing to chance but ordered faults.
const FEED_SEED: u64 = 1;

impl FeedOptions {
    /// Runs the feed.
    ///
    /// # Errors
    ///
    /// Fails when the listener or the signal handler cannot be set up.
    pub fn run(self) -> io::Result<()> {
        let context = ServerContext::new(FEED_SEED);
        let handler = FeedHandler::new(context.clone(), self.lag);
        let options = ServerOptions {
            listen: self.listen,
            max_life: self.max_life,
            seed: FEED_SEED,
        };
        HttpServer::run(options, context, handler)
    }
}
