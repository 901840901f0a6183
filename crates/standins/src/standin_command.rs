use std::io;

use argh::FromArgs;

use crate::{
    engine::EngineCommand,
    feed::{ConfigCommand, MembershipCommand},
    pool::PoolCommand,
    service::ServiceCommand,
    weights::WeightsCommand,
};

/// Runs one stand-in for a system outside verbenahub.
#[derive(Debug, FromArgs)]
pub struct StandinCommand {
    #[argh(subcommand)]
    /// which system to stand in for
    pub kind: StandinKind,
}

/// The systems that can be stood in for.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum StandinKind {
    /// Model engine.
    Engine(EngineCommand),
    /// Pool of encoders, retrievers or rerankers.
    Pool(PoolCommand),
    /// Plain service.
    Service(ServiceCommand),
    /// Configuration service.
    Config(ConfigCommand),
    /// Membership list.
    Membership(MembershipCommand),
    /// Weight store.
    Weights(WeightsCommand),
}

impl StandinCommand {
    /// Runs the stand-in until it is told to stop or its life is over.
    ///
    /// # Errors
    ///
    /// Fails when the listener or the signal handler cannot be set up.
    pub fn run(self) -> io::Result<()> {
        match self.kind {
            StandinKind::Engine(command) => command.run(),
            StandinKind::Pool(command) => command.run(),
            StandinKind::Service(command) => command.run(),
            StandinKind::Config(command) => command.run(),
            StandinKind::Membership(command) => command.run(),
            StandinKind::Weights(command) => command.run(),
        }
    }
}
