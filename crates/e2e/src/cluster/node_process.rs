use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use http_types::Method;
use verbenahub_core::{
    ids::{RegionName, ZoneName},
    protocol::{NodeStatus, VmEntry, VmRole, VmState, paths},
};

use crate::{
    network::{HttpCall, Relay, free_address},
    process::{ProcessGuard, ProgramFile},
};

/// Bound of a look at a node, which may be frozen.
const LOOK_LIMIT: Duration = Duration::from_secs(1);

/// A node with its settings and its ways to the platform.
#[derive(Debug)]
pub struct NodeProcess {
    /// Identifier of the node.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub public: SocketAddr,
    /// Address for other nodes.
    pub internal: SocketAddr,
    /// The way to the configuration service.
    pub config_relay: Relay,
    /// The way to the membership list.
    pub membership_relay: Relay,
    guard: Option<ProcessGuard>,
    settings: PathBuf,
}

impl NodeProcess {
    /// Prepares a node that is not started yet.
    ///
    /// # Panics
    ///
    /// Panics when a relay cannot listen.
    #[must_use]
    pub fn new(
        id: &str,
        zone: &str,
        directory: &std::path::Path,
        config: SocketAddr,
        membership: SocketAddr,
    ) -> Self {
        Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            public: free_address(),
            internal: free_address(),
            config_relay: Relay::start(config).expect("a relay that listens"),
            membership_relay: Relay::start(membership).expect("a relay that listens"),
            guard: None,
            settings: directory.join(format!("{id}.toml")),
        }
    }

    /// Writes the settings; `extra` is appended.
    ///
    /// # Panics
    ///
    /// Panics when the file cannot be written.
    pub fn write_settings(&self, seeds: &[SocketAddr], extra: &str) {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let lines = [
            format!("node = \"{}\"", self.id),
            "region = \"south\"".to_owned(),
            format!("zone = \"{}\"", self.zone),
            format!("listen = \"{}\"", self.public),
            format!("internal_listen = \"{}\"", self.internal),
            "cluster_secret = \"0123456789abcdef-e2e\"".to_owned(),
            format!("config_service = [\"{}\"]", self.config_relay.address()),
            format!(
                "membership_service = [\"{}\"]",
                self.membership_relay.address()
            ),
            format!("seeds = [{}]", seeds.join(", ")),
            extra.to_owned(),
        ];
        fs::write(&self.settings, lines.join("\n")).expect("settings that can be written");
    }

    /// Starts the process.
    ///
    /// # Panics
    ///
    /// Panics when it cannot be started.
    pub fn start(&mut self) {
        let settings = self.settings.to_string_lossy().into_owned();
        let arguments = ["--config".to_owned(), settings];
        let guard = ProcessGuard::start(&self.id, ProgramFile::Daemon, &arguments);
        self.guard = Some(guard.expect("a node that starts"));
    }

    /// Kills the process and starts another with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        self.start();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut guard) = self.guard.take() {
            guard.kill();
        }
    }

    /// The process.
    ///
    /// # Panics
    ///
    /// Panics when the node is not started.
    pub fn guard(&mut self) -> &mut ProcessGuard {
        self.guard.as_mut().expect("a node that was started")
    }

    /// Whether the process was started and not killed.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.guard.is_some()
    }

    /// Whether the node takes requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let call = HttpCall::new(self.public, Method::Get, paths::READY).limit(LOOK_LIMIT);
        call.send().is_ok_and(|answer| answer.status == 200)
    }

    /// What the node says of itself.
    #[must_use]
    pub fn status(&self) -> Option<NodeStatus> {
        let call = HttpCall::new(self.public, Method::Get, paths::STATUS).limit(LOOK_LIMIT);
        call.send().ok()?.json()
    }

    /// The entry in the membership list.
    ///
    /// # Panics
    ///
    /// Panics when the zone is no name.
    #[must_use]
    pub fn entry(&self, state: VmState) -> VmEntry {
        VmEntry {
            role: VmRole::Node,
            address: self.internal,
            region: RegionName::new("south").expect("a name"),
            zone: ZoneName::new(&self.zone).expect("a name"),
            state,
            pool: None,
            models: Vec::new(),
            checks_fence: false,
            capacity: None,
        }
    }

    /// The last lines that the node wrote.
    #[must_use]
    pub fn log_tail(&self, count: usize) -> String {
        self.guard
            .as_ref()
            .map_or_else(String::new, |guard| guard.log().tail(count))
    }
}
