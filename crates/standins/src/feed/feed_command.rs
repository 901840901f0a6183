use std::{io, net::SocketAddr};

use argh::FromArgs;
use verbenahub_core::clock::TimeSpan;

use super::FeedOptions;
use crate::server::ServerOptions;

/// Configuration service: a feed of records.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config-service")]
pub struct ConfigCommand {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "ServerOptions::default_listen()")]
    pub listen: SocketAddr,
    /// the process ends by itself after this time (default 600 s)
    #[argh(option, default = "ServerOptions::default_max_life()")]
    pub max_life: TimeSpan,
    /// time from a change until readers see it, in milliseconds (default 0)
    #[argh(option, default = "0")]
    pub lag_ms: u64,
}

/// Membership list: a feed of VMs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "membership-list")]
pub struct MembershipCommand {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "ServerOptions::default_listen()")]
    pub listen: SocketAddr,
    /// the process ends by itself after this time (default 600 s)
    #[argh(option, default = "ServerOptions::default_max_life()")]
    pub max_life: TimeSpan,
    /// time from a change until readers see it, in milliseconds (default 0)
    #[argh(option, default = "0")]
    pub lag_ms: u64,
}

impl ConfigCommand {
    /// Runs the configuration service.
    ///
    /// # Errors
    ///
    /// Fails when the listener or the signal handler cannot be set up.
    pub fn run(self) -> io::Result<()> {
        let options = FeedOptions {
            listen: self.listen,
            max_life: self.max_life,
            lag: TimeSpan::from_millis(self.lag_ms),
        };
        options.run()
    }
}

impl MembershipCommand {
    /// Runs the membership list.
    ///
    /// # Errors
    ///
    /// Fails when the listener or the signal handler cannot be set up.
    pub fn run(self) -> io::Result<()> {
        let options = FeedOptions {
            listen: self.listen,
            max_life: self.max_life,
            lag: TimeSpan::from_millis(self.lag_ms),
        };
        options.run()
    }
}
