use std::net::SocketAddr;

use verbenahub_core::{
    ids::{ModelName, PoolName, RegionName, ZoneName},
    protocol::{VmEntry, VmRole, VmState},
};
use verbenahub_standins::{load::RunEntry, service::LedgerEntry};

use super::{StandinProcess, TargetPool};
use crate::network::Relay;

/// Model of the sample records.
const SAMPLE_MODEL: &str = "trade-8b";

/// A running target behind a relay.
#[derive(Debug)]
pub struct TargetProcess {
    /// Identifier in the membership list.
    pub id: String,
    /// The pool.
    pub pool: TargetPool,
    /// The stand-in.
    pub standin: StandinProcess,
    /// What nodes connect to.
    pub relay: Relay,
    zone: String,
    arguments: Vec<String>,
}

impl TargetProcess {
    /// Starts a target with more arguments than its pool has.
    ///
    /// # Panics
    ///
    /// Panics when the relay cannot listen.
    #[must_use]
    pub fn start(id: &str, pool: TargetPool, zone: &str, extra: &[String]) -> Self {
        let arguments = merge_arguments(pool.arguments(), extra);
        let standin = start_standin(id, &arguments);
        let relay = Relay::start(standin.address).expect("a relay that listens");
        Self {
            id: id.to_owned(),
            pool,
            standin,
            relay,
            zone: zone.to_owned(),
            arguments,
        }
    }

    /// Kills the process and starts it again at the same address.
    pub fn restart(&mut self) {
        self.standin.guard.kill();
        let mut arguments = self.arguments.clone();
        arguments.extend(["--listen".to_owned(), self.standin.address.to_string()]);
        self.standin = start_standin(&self.id, &arguments);
    }

    /// The entry in the membership list.
    ///
    /// # Panics
    ///
    /// Panics when the zone is no name.
    #[must_use]
    pub fn entry(&self, state: VmState) -> VmEntry {
        let engine = self.pool == TargetPool::Engines;
        let model = engine.then(|| ModelName::new(SAMPLE_MODEL).expect("a name"));
        VmEntry {
            role: VmRole::Target,
            address: self.address(),
            region: RegionName::new("south").expect("a name"),
            zone: ZoneName::new(&self.zone).expect("a name"),
            state,
            pool: Some(PoolName::new(self.pool.name()).expect("a name")),
            models: model.into_iter().collect(),
            checks_fence: engine,
            capacity: None,
        }
    }

    /// Where nodes connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// The calls that reached the target.
    #[must_use]
    pub fn runs(&self) -> Vec<RunEntry> {
        self.standin.get("/runs")
    }

    /// The ledger of a plain service.
    #[must_use]
    pub fn ledger(&self) -> Vec<LedgerEntry> {
        self.standin.get("/ledger")
    }
}

/// The arguments of a pool; those with a name that `extra` has too give way.
fn merge_arguments(base: &[&str], extra: &[String]) -> Vec<String> {
    let mut merged = Vec::new();
    let mut overridden = false;
    for argument in base {
        if argument.starts_with("--") {
            overridden = extra.iter().any(|name| name == argument);
        }
        if !overridden {
            merged.push((*argument).to_owned());
        }
    }
    merged.extend(extra.iter().cloned());
    merged
}

fn start_standin(id: &str, arguments: &[String]) -> StandinProcess {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    StandinProcess::start(id, &arguments)
}
