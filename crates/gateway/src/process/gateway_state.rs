use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
};

use async_channel::Receiver;
use event_listener::Event;
use fastrand::Rng;
use slog::Logger;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    fleet::{FleetMember, FleetTable},
    ids::{IncarnationNumber, PoolName},
    policy::retry::TrafficBudget,
    routes::{CallerPatience, RouteConfig, RouteSpec},
    settings::GatewayProfile,
    targets::{StoreContact, TargetLoads, TargetRecord, TargetRegistry},
};

use super::{GatewayClock, GatewayMetrics, LocalTasks, WorkCounter};
use crate::{
    peers::PeerClient,
    staging::{ResultDesk, StageClient, StageDesk},
    targets::ChannelPool,
};

/// Everything that the parts of the process share. The process has one thread.
pub type Shared = Rc<GatewayState>;

/// State of the process.
#[derive(Debug)]
pub struct GatewayState {
    /// What the platform tells the node about itself.
    pub profile: GatewayProfile,
    /// The clock.
    pub clock: GatewayClock,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: GatewayMetrics,
    /// Configuration in force.
    pub config: RefCell<Option<Rc<RouteConfig>>>,
    /// Registered targets.
    pub registry: RefCell<TargetRegistry>,
    /// Load and health of targets.
    pub loads: RefCell<TargetLoads>,
    /// Other gateways.
    pub fleet: RefCell<FleetTable>,
    /// Rises with each change of targets or configuration.
    pub changes: Cell<u64>,
    /// Told of each change of targets, configuration or contact.
    pub changed: Event,
    /// Contact to the store.
    pub contact: RefCell<StoreContact>,
    /// Idle connections to targets.
    pub channels: ChannelPool,
    /// Calls to other gateways.
    pub peers: PeerClient,
    /// Queues of the stages that this node collects for.
    pub desk: StageDesk,
    /// Results that are given up.
    pub results: ResultDesk,
    /// Ways to the collectors of stages.
    pub stages: StageClient,
    /// Extra attempts.
    pub retries: TrafficBudget,
    /// Work that a stop waits for.
    pub work: WorkCounter,
    /// Tasks that outlive the request that began them.
    pub tasks: LocalTasks,
    /// Whether the node is stopping: answers end their connections.
    pub stopping: Cell<bool>,
    /// Closed when idle connections of callers end.
    pub ending: Receiver<()>,
    /// Longest deadline that callers of each route have sent.
    patience: RefCell<HashMap<String, CallerPatience>>,
    rng: RefCell<Rng>,
}

impl GatewayState {
    /// Creates the state of a process that starts now.
    #[must_use]
    pub fn new(
        profile: GatewayProfile,
        clock: GatewayClock,
        log: Logger,
        metrics: GatewayMetrics,
        tasks: LocalTasks,
        ending: Receiver<()>,
    ) -> Self {
        let own = FleetMember {
            node: profile.node.clone(),
            address: profile.peers,
            // Runs of one node follow each other on its one clock, which goes
            // on between them.
            incarnation: IncarnationNumber::new(clock.now().as_millis()),
            heartbeat: 0,
            weight: profile.cores,
            active: false,
        };
        Self {
            retries: retry_budget(&profile),
            fleet: RefCell::new(FleetTable::new(own)),
            config: RefCell::default(),
            registry: RefCell::default(),
            loads: RefCell::default(),
            changes: Cell::new(0),
            changed: Event::new(),
            contact: RefCell::default(),
            channels: ChannelPool::default(),
            peers: PeerClient::default(),
            desk: StageDesk::default(),
            results: ResultDesk::default(),
            stages: StageClient::default(),
            work: WorkCounter::default(),
            stopping: Cell::new(false),
            patience: RefCell::default(),
            rng: RefCell::new(Rng::new()),
            profile,
            clock,
            log,
            metrics,
            tasks,
            ending,
        }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Rc<RouteConfig>> {
        self.config.borrow().clone()
    }

    /// Whether callers are best sent here: the node knows what to do with
    /// them and isn't stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let knows_targets = !self.registry.borrow().is_empty();
        !self.stopping.get() && self.config.borrow().is_some() && knows_targets
    }

    /// Takes a configuration into force if it is newer. Returns whether it is.
    pub fn adopt(&self, config: RouteConfig, source: &str) -> bool {
        let held = self.config.borrow().as_ref().map(|held| held.revision);
        if held.is_some_and(|held| held >= config.revision) {
            return false;
        }
        slog::info!(self.log, "config: Version in force.";
            "version" => config.version, "revision" => %config.revision,
            "routes" => config.route_count(), "source" => source.to_owned());
        let version = i64::try_from(config.version).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.note_changes();
        true
    }

    /// Takes note that targets or the configuration have changed.
    pub fn note_changes(&self) {
        let registry = self.registry.borrow();
        let count = i64::try_from(registry.len()).unwrap_or(i64::MAX);
        self.metrics.targets.set(count);
        self.channels.retain(|id| registry.get(id).is_some());
        self.loads
            .borrow_mut()
            .retain(|id| registry.get(id).is_some());
        self.fleet.borrow_mut().set_active(self.is_ready());
        self.changes.set(self.changes.get() + 1);
        self.changed.notify(usize::MAX);
    }

    /// Targets of a service that take work.
    #[must_use]
    pub fn ready_targets(&self, service: &PoolName) -> Vec<Arc<TargetRecord>> {
        let registry = self.registry.borrow();
        registry.ready(service).map(Arc::clone).collect()
    }

    /// Takes note of a caller's deadline. Returns how long ago it has probably
    /// made its first attempt.
    pub fn note_deadline(&self, route: &RouteSpec, deadline: TimeSpan) -> TimeSpan {
        let mut patience = self.patience.borrow_mut();
        let callers = patience.entry(route.name.clone()).or_default();
        callers.note(deadline)
    }

    /// A random number.
    #[must_use]
    pub fn random(&self) -> u64 {
        self.rng.borrow_mut().u64(..)
    }

    /// A random share, from 0 up to but without 1.
    #[must_use]
    pub fn random_share(&self) -> f64 {
        self.rng.borrow_mut().f64()
    }
}

/// This node's part of the extra attempts that all nodes may make together.
/// The reserve is shared between the most nodes that may be there.
fn retry_budget(profile: &GatewayProfile) -> TrafficBudget {
    /// Nodes that share the reserve. More than run today, so that cut-off
    /// nodes that don't know of each other keep to it as well.
    const RESERVE_SHARES: f64 = 12.0;
    const PER_MILLE: f64 = 1_000.0;
    // The casts saturate.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let (per_mille, reserve) = (
        (profile.retry_ratio * PER_MILLE) as u32,
        (profile.retry_reserve / RESERVE_SHARES) as u32,
    );
    TrafficBudget::new(per_mille, reserve.max(1))
}
