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
    fleet::{FleetMember, FleetTable, GossipSchedule},
    ids::{IncarnationNumber, PoolName, StoreRevision},
    policy::retry::AttemptBudget,
    routes::{FirstAttemptEstimator, RouteConfig, RouteSpec},
    settings::GatewayProfile,
    targets::{
        LeavingNotice, LeavingTargets, StoreConnectivity, TargetLoads, TargetRecord, TargetRegistry,
    },
};

use super::{GatewayClock, GatewayMetrics, LocalTasks, WorkCounter};
use crate::{
    engines::{EngineChooser, EngineClient},
    peers::PeerClient,
    staging::{ResultDesk, StageClient, StageDesk},
    targets::{ConnectionPool, ResponseMemory},
};

/// Parts into which the reserve of extra attempts is divided at least, so that
/// the cut-off parts of a small fleet keep to it as well.
const LEAST_RESERVE_SHARES: usize = 12;

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
    /// Targets that have said in an answer that they leave.
    pub leaving: RefCell<LeavingTargets>,
    /// Load and health of targets.
    pub loads: RefCell<TargetLoads>,
    /// Other gateways.
    pub fleet: RefCell<FleetTable>,
    /// How often the node gossips, by the time since its start.
    pub gossip_schedule: GossipSchedule,
    /// Rises with each change of targets or configuration.
    pub change_count: Cell<u64>,
    /// Told of each change of targets, configuration or contact.
    pub changed: Event,
    /// Contact to the store.
    pub store_connectivity: RefCell<StoreConnectivity>,
    /// Idle connections to targets.
    pub idle_connections: ConnectionPool,
    /// Memory for answers of targets while they are read.
    pub response_memory: ResponseMemory,
    /// Calls to other gateways.
    pub peers: PeerClient,
    /// Queues of the stages that this node collects for.
    pub desk: StageDesk,
    /// Books of the engines that this node chooses among.
    pub engine_chooser: EngineChooser,
    /// Ways to the nodes that choose engines.
    pub engines: EngineClient,
    /// Results that are given up.
    pub results: ResultDesk,
    /// Ways to the collectors of stages.
    pub stages: StageClient,
    /// Extra attempts.
    pub retry_budget: AttemptBudget,
    /// Work that a stop waits for.
    pub work: WorkCounter,
    /// Tasks that outlive the request that began them.
    pub tasks: LocalTasks,
    /// Whether the node is stopping: answers end their connections.
    pub stopping: Cell<bool>,
    /// Closed when idle connections of callers end.
    pub caller_shutdown: Receiver<()>,
    /// Longest deadline that callers of each route have sent.
    first_attempts: RefCell<HashMap<String, FirstAttemptEstimator>>,
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
        caller_shutdown: Receiver<()>,
    ) -> Self {
        let own = FleetMember {
            node: profile.node.clone(),
            address: profile.peer_address,
            // Runs of one node follow each other on its one clock, which goes
            // on between them.
            incarnation: IncarnationNumber::new(clock.now().as_millis()),
            heartbeat: 0,
            weight: profile.cores,
            active: false,
        };
        Self {
            retry_budget: retry_budget(&profile),
            fleet: RefCell::new(FleetTable::new(own)),
            gossip_schedule: GossipSchedule::new(clock.now()),
            config: RefCell::default(),
            registry: RefCell::default(),
            leaving: RefCell::default(),
            loads: RefCell::default(),
            change_count: Cell::new(0),
            changed: Event::new(),
            store_connectivity: RefCell::default(),
            idle_connections: ConnectionPool::default(),
            response_memory: ResponseMemory::default(),
            peers: PeerClient::default(),
            desk: StageDesk::default(),
            engine_chooser: EngineChooser::default(),
            engines: EngineClient::default(),
            results: ResultDesk::default(),
            stages: StageClient::default(),
            work: WorkCounter::default(),
            stopping: Cell::new(false),
            first_attempts: RefCell::default(),
            rng: RefCell::new(Rng::new()),
            profile,
            clock,
            log,
            metrics,
            tasks,
            caller_shutdown,
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
    pub fn update_config(&self, config: RouteConfig, source: &str) -> bool {
        let held = self.config.borrow().as_ref().map(|held| held.rank());
        if held.is_some_and(|held| held >= config.rank()) {
            return false;
        }
        slog::info!(self.log, "config: Version in force.";
            "version" => config.version, "revision" => %config.revision,
            "routes" => config.route_count(), "source" => source.to_owned());
        let version = i64::try_from(config.version).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.publish_changes();
        true
    }

    /// Takes note that targets or the configuration have changed.
    pub fn publish_changes(&self) {
        let registry = self.registry.borrow();
        let count = i64::try_from(registry.len()).unwrap_or(i64::MAX);
        self.metrics.targets.set(count);
        self.idle_connections
            .retain(|id| registry.get(id).is_some());
        self.loads
            .borrow_mut()
            .retain(|id| registry.get(id).is_some());
        self.fleet.borrow_mut().set_active(self.is_ready());
        self.change_count.set(self.change_count.get() + 1);
        self.changed.notify(usize::MAX);
    }

    /// Takes note of what is about to replace the held targets: perhaps the
    /// store has come back from a copy since they were read.
    pub fn detect_restore(&self, listed: StoreRevision, source: &str) {
        let held = self.registry.borrow().revision();
        if listed.era <= held.era {
            return;
        }
        let era = i64::try_from(listed.era.get()).unwrap_or(i64::MAX);
        self.metrics.store_era.set(era);
        if held != StoreRevision::ZERO {
            slog::warn!(self.log, "store: Was restored from a copy.";
                "held" => %held, "listed" => %listed, "source" => source.to_owned());
            self.store_connectivity
                .borrow_mut()
                .record_restore(self.now());
        }
    }

    /// Targets of a service that take work.
    #[must_use]
    pub fn ready_targets(&self, service: &PoolName) -> Vec<Arc<TargetRecord>> {
        let registry = self.registry.borrow();
        let leaving = self.leaving.borrow();
        let ready = registry.ready(service);
        let staying = ready.filter(|record| !leaving.contains(record));
        staying.map(Arc::clone).collect()
    }

    /// Takes note that a target has said that it leaves. It gets no new
    /// requests, whatever the store says of it.
    pub fn record_leaving(&self, record: &TargetRecord) {
        let mut leaving = self.leaving.borrow_mut();
        let now = self.now();
        let is_news = leaving.insert(&record.id, record.started_at, TimeSpan::ZERO, now);
        drop(leaving);
        if is_news {
            slog::info!(self.log, "targets: Leaves.";
                "target" => %record.id, "service" => %record.service, "source" => "answer");
            self.publish_changes();
        }
    }

    /// Takes over which targets have told other nodes that they leave.
    pub fn merge_leaving(&self, notices: Vec<LeavingNotice>, source: &str) {
        let news = self.leaving.borrow_mut().merge(notices, self.now());
        if news.is_empty() {
            return;
        }
        for target in &news {
            slog::info!(self.log, "targets: Leaves.";
                "target" => %target, "source" => "peer", "peer" => source);
        }
        self.publish_changes();
    }

    /// Takes note of a caller's deadline. Returns how long ago it has probably
    /// made its first attempt.
    pub fn record_deadline(&self, route: &RouteSpec, deadline: TimeSpan) -> TimeSpan {
        let mut first_attempts = self.first_attempts.borrow_mut();
        let callers = first_attempts.entry(route.name.clone()).or_default();
        callers.observe_deadline(deadline)
    }

    /// Takes over this node's part of the extra attempts that all nodes may save
    /// up together, now that `nodes` are known.
    pub fn update_retry_reserve(&self, nodes: usize) {
        let shares = nodes.max(LEAST_RESERVE_SHARES);
        let shares = u32::try_from(shares).unwrap_or(u32::MAX);
        let part = self.profile.retry_reserve / f64::from(shares);
        // The cast saturates.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let part = part as u32;
        self.retry_budget.set_reserve(part.max(1));
    }

    /// A random number.
    #[must_use]
    pub fn random(&self) -> u64 {
        self.rng.borrow_mut().u64(..)
    }

    /// A random share, from 0 up to but without 1.
    #[must_use]
    pub fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().f64()
    }
}

/// The extra attempts of this node. The reserve is none but one attempt until it
/// is known how many nodes share it.
fn retry_budget(profile: &GatewayProfile) -> AttemptBudget {
    const PER_MILLE: f64 = 1_000.0;
    // The cast saturates.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let per_mille = (profile.retry_ratio * PER_MILLE) as u32;
    AttemptBudget::new(per_mille, 1)
}
