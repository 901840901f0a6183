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
        ColdNotice, ColdTargets, EffectiveLimit, EvacuatedZones, LeavingNotice, LeavingTargets,
        LimitNotice, RequestLimit, ReturnSchedule, StoreConnectivity, TargetLimits, TargetLoads,
        TargetRecord, TargetRegistry, ZoneNotice,
    },
    units::RateLimit,
};

use super::{GatewayClock, GatewayMetrics, LocalTasks, WorkCounter};
use crate::{
    engines::{EngineChooser, EngineClient},
    peers::PeerClient,
    quarantine::{CrashOwner, CrashReporter, PromptQuarantine},
    staging::{ResultReleaser, StageClient, StageCollector},
    targets::{CallPurpose, ConnectionPool, PermitClient, ResponseMemory},
};

/// Minimum number of shares into which the retry reserve is divided. It keeps
/// the total within the reserve also when a small fleet is partitioned and each
/// partition counts only its own nodes.
const MIN_RESERVE_SHARES: usize = 12;

/// Time for which ends of evacuations are kept. Longer than targets are cold after
/// their start.
const EVACUATION_END_RETENTION: TimeSpan = TimeSpan::from_secs(60);

/// Handle to the state that all parts of the process share. The process is
/// single-threaded.
pub type Shared = Rc<GatewayState>;

/// State that all parts of the process share.
#[derive(Debug)]
pub struct GatewayState {
    /// Settings that the platform gives to this node. Ports that the system chose
    /// are filled in.
    pub profile: GatewayProfile,
    /// The clock.
    pub clock: GatewayClock,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: GatewayMetrics,
    /// Configuration in force; `None` until the first one is read.
    pub config: RefCell<Option<Rc<RouteConfig>>>,
    /// Registered targets.
    pub registry: RefCell<TargetRegistry>,
    /// Targets that have announced in a response that they are leaving.
    pub leaving: RefCell<LeavingTargets>,
    /// Zones that the operator has evacuated.
    pub zones: RefCell<EvacuatedZones>,
    /// Limits on requests that targets have named in responses.
    pub limits: RefCell<TargetLimits>,
    /// Until when targets are cold.
    pub cold_targets: RefCell<ColdTargets>,
    /// Ends of evacuations, with the times at which this node learned of them, for as
    /// long as targets may be cold for that reason.
    evacuation_ends: RefCell<Vec<(ZoneNotice, ClockTime)>>,
    /// Obtains and grants permits for calls to limited targets.
    pub permits: PermitClient,
    /// Parts of prompts that crash engines, and parts that were answered.
    pub quarantine: PromptQuarantine,
    /// Reports crashes to the node that decides on quarantines.
    pub crash_reporter: CrashReporter,
    /// Decides on quarantines, if this node does so for all nodes.
    pub crash_owner: CrashOwner,
    /// Load and health of targets.
    pub loads: RefCell<TargetLoads>,
    /// Other gateways.
    pub fleet: RefCell<FleetTable>,
    /// Gossip interval, by the time since the start of the node.
    pub gossip_schedule: GossipSchedule,
    /// Incremented with each change of targets or configuration.
    pub change_count: Cell<u64>,
    /// Notified when targets or configuration change, and when the connection to
    /// the store is lost.
    pub changed: Event,
    /// Connectivity to the store, and the age of the data read from it.
    pub store_connectivity: RefCell<StoreConnectivity>,
    /// Idle connections to targets.
    pub idle_connections: ConnectionPool,
    /// Memory for responses of targets while they are read.
    pub response_memory: ResponseMemory,
    /// Client for calls to other gateways.
    pub peers: PeerClient,
    /// Queues of the stages for which this node is the collector.
    pub stage_collector: StageCollector,
    /// Chooses an engine for a request, among the engines that this node is
    /// responsible for.
    pub engine_chooser: EngineChooser,
    /// Client for the nodes that choose engines.
    pub engines: EngineClient,
    /// Stage results that are no longer needed and are to be freed.
    pub result_releaser: ResultReleaser,
    /// Client for the collectors of stages.
    pub stage_client: StageClient,
    /// Budget for extra attempts.
    pub retry_budget: AttemptBudget,
    /// Requests of callers and stage calls of other nodes in progress, for which a
    /// graceful shutdown waits.
    pub work: WorkCounter,
    /// Tasks that may outlive the request that started them.
    pub tasks: LocalTasks,
    /// Whether the node is shutting down. Each response then closes its
    /// connection.
    pub stopping: Cell<bool>,
    /// Time by which requests that arrive now must end to be accepted, during the
    /// last part of a shutdown.
    pub request_cutoff: Cell<Option<ClockTime>>,
    /// Whether the time for requests in progress is over.
    is_work_ended: Cell<bool>,
    /// Notified when it is over.
    work_ended: Event,
    /// Closed when idle connections of callers are to be closed.
    pub caller_shutdown: Receiver<()>,
    /// When callers of services whose targets have all named limits come back.
    return_schedules: RefCell<HashMap<PoolName, ReturnSchedule>>,
    /// Estimates when callers made their first attempt, by route name.
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
            // The clock of the VM runs on across restarts of the process, so
            // incarnations of a node increase.
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
            zones: RefCell::default(),
            limits: RefCell::default(),
            cold_targets: RefCell::default(),
            evacuation_ends: RefCell::default(),
            permits: PermitClient::default(),
            quarantine: PromptQuarantine::new(&profile.node),
            crash_reporter: CrashReporter::default(),
            crash_owner: CrashOwner::default(),
            loads: RefCell::default(),
            change_count: Cell::new(0),
            changed: Event::new(),
            store_connectivity: RefCell::new(StoreConnectivity::new(profile.renewal_interval)),
            idle_connections: ConnectionPool::default(),
            response_memory: ResponseMemory::default(),
            peers: PeerClient::default(),
            stage_collector: StageCollector::default(),
            engine_chooser: EngineChooser::default(),
            engines: EngineClient::default(),
            result_releaser: ResultReleaser::default(),
            stage_client: StageClient::default(),
            work: WorkCounter::default(),
            stopping: Cell::new(false),
            request_cutoff: Cell::new(None),
            is_work_ended: Cell::new(false),
            work_ended: Event::new(),
            return_schedules: RefCell::default(),
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

    /// The current time.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Rc<RouteConfig>> {
        self.config.borrow().clone()
    }

    /// Whether the node is ready for callers: it has a configuration and targets
    /// and isn't shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let knows_targets = !self.registry.borrow().is_empty();
        !self.stopping.get() && self.config.borrow().is_some() && knows_targets
    }

    /// Replaces the configuration in force if `config` is newer. Returns whether
    /// it is. `source` is logged.
    pub fn update_config(&self, config: RouteConfig, source: &str) -> bool {
        let current = self.config.borrow().as_ref().map(|current| current.rank());
        if current.is_some_and(|current| current >= config.rank()) {
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

    /// Updates what depends on the targets or the configuration after either has
    /// changed, and notifies waiting tasks.
    pub fn publish_changes(&self) {
        let registry = self.registry.borrow();
        let count = i64::try_from(registry.len()).unwrap_or(i64::MAX);
        self.metrics.targets.set(count);
        self.idle_connections
            .retain(|id| registry.get(id).is_some());
        self.loads
            .borrow_mut()
            .retain(|id| registry.get(id).is_some());
        self.limits
            .borrow_mut()
            .retain(|id| registry.get(id).is_some());
        self.cold_targets
            .borrow_mut()
            .retain(|id| registry.get(id).is_some());
        self.permits.retain(|id| registry.get(id).is_some());
        self.update_limited_targets();
        self.fleet.borrow_mut().set_active(self.is_ready());
        self.change_count.set(self.change_count.get() + 1);
        self.changed.notify(usize::MAX);
    }

    /// Checks whether the store was restored from a backup since the registered
    /// targets were read: then `listed`, the revision of the targets that are
    /// about to replace them, is of a later era. `source` is logged.
    pub fn detect_restore(&self, listed: StoreRevision, source: &str) {
        let current = self.registry.borrow().revision();
        if listed.era <= current.era {
            return;
        }
        let era = i64::try_from(listed.era.get()).unwrap_or(i64::MAX);
        self.metrics.store_era.set(era);
        if current != StoreRevision::ZERO {
            slog::warn!(self.log, "store: Was restored from a copy.";
                "held" => %current, "listed" => %listed, "source" => source.to_owned());
            self.store_connectivity
                .borrow_mut()
                .record_restore(self.now());
        }
    }

    /// Ends the requests in progress, since the process exits in a moment.
    pub fn end_work(&self) {
        self.is_work_ended.set(true);
        self.work_ended.notify(usize::MAX);
    }

    /// Waits until the time for requests in progress is over.
    pub async fn wait_work_end(&self) {
        loop {
            let ended = self.work_ended.listen();
            if self.is_work_ended.get() {
                return;
            }
            ended.await;
        }
    }

    /// Targets of a service that accept new requests.
    #[must_use]
    pub fn ready_targets(&self, service: &PoolName) -> Vec<Arc<TargetRecord>> {
        let registry = self.registry.borrow();
        let leaving = self.leaving.borrow();
        let zones = self.zones.borrow();
        let ready = registry.ready(service);
        let usable =
            ready.filter(|record| !leaving.contains(record) && !zones.contains(&record.zone));
        usable.map(Arc::clone).collect()
    }

    /// Whether the run that a record describes accepts new requests, by what is known
    /// now.
    #[must_use]
    pub fn accepts_work(&self, record: &TargetRecord) -> bool {
        self.registry.borrow().is_ready(record)
            && !self.leaving.borrow().contains(record)
            && !self.is_evacuated(record)
    }

    /// Whether the run that a record describes may get a call, by what is known now.
    #[must_use]
    pub fn accepts_call(&self, record: &TargetRecord, purpose: CallPurpose) -> bool {
        if purpose.is_work() {
            self.accepts_work(record)
        } else {
            !self.is_evacuated(record)
        }
    }

    /// Whether the operator has evacuated the zone of a target.
    #[must_use]
    pub fn is_evacuated(&self, record: &TargetRecord) -> bool {
        self.zones.borrow().contains(&record.zone)
    }

    /// Whether a service has ready targets, all of them in evacuated zones.
    #[must_use]
    pub fn is_service_evacuated(&self, service: &PoolName) -> bool {
        let zones = self.zones.borrow();
        if zones.is_empty() {
            return false;
        }
        let registry = self.registry.borrow();
        let mut ready = registry.ready(service).peekable();
        ready.peek().is_some() && ready.all(|record| zones.contains(&record.zone))
    }

    /// Waits until the run that a record describes no longer accepts new requests.
    pub async fn wait_until_departed(&self, record: &TargetRecord) {
        loop {
            let changed = self.changed.listen();
            if !self.accepts_work(record) {
                return;
            }
            changed.await;
        }
    }

    /// Records what a response says about the limit of its target: `named` is the
    /// limit that it names, if any, and `sent_at` the time at which the request was
    /// sent.
    pub fn record_limit(
        &self,
        record: &TargetRecord,
        named: Option<RequestLimit>,
        sent_at: ClockTime,
    ) {
        let now = self.now();
        let mut limits = self.limits.borrow_mut();
        let is_changed = match named {
            Some(limit) => limits.record_named(record, limit, now),
            None => limits.record_unnamed(record, sent_at, now),
        };
        drop(limits);
        if is_changed {
            slog::info!(self.log, "targets: Limit changed.";
                "target" => %record.id, "service" => %record.service,
                "limit" => named.map(|limit| limit.to_string()), "source" => "answer");
            self.loads.borrow_mut().clear_pace(&record.id);
            self.update_limited_targets();
        }
    }

    /// Merges notices of other nodes about the limits of targets. `source` names the
    /// message that brought them, for the log.
    pub fn merge_limits(&self, notices: Vec<LimitNotice>, source: &str) {
        if notices.is_empty() {
            return;
        }
        let changes = self.limits.borrow_mut().merge(notices, self.now());
        for change in &changes {
            slog::info!(self.log, "targets: Limit changed.";
                "target" => %change.target, "age" => %change.age, "source" => source.to_owned(),
                "limit" => change.limit.map(|limit| limit.to_string()));
            self.loads.borrow_mut().clear_pace(&change.target);
        }
        if !changes.is_empty() {
            self.update_limited_targets();
        }
    }

    /// The limit on requests to the run that a record describes: the one that it has
    /// named or, while it is cold, that of cold targets of its service, whichever is
    /// lower.
    #[must_use]
    pub fn request_limit(&self, record: &TargetRecord) -> Option<EffectiveLimit> {
        let now = self.now();
        let named = self.limits.borrow().limit_of(record, now);
        let left = self.cold_targets.borrow().cold_left(record, now);
        let cold = if left.is_zero() {
            None
        } else {
            let config = self.config.borrow();
            let config = config.as_ref();
            let limit = config.and_then(|config| config.cold_limit(&record.service));
            limit.map(|limit| (limit, left))
        };
        EffectiveLimit::combine(named, cold)
    }

    /// Whether any target may have a limit.
    #[must_use]
    pub fn has_limited_targets(&self) -> bool {
        self.limits.borrow().limited_count() > 0
            || self.cold_targets.borrow().cold_count(self.now()) > 0
    }

    /// Logs the targets of which late writes were ignored, and logs and counts those
    /// that stay in use although their records are missing from the store. `source` is
    /// logged.
    pub fn report_registry(&self, source: &str) {
        let late_writes = self.registry.borrow_mut().take_late_writes();
        for target in late_writes {
            slog::info!(self.log, "targets: Late write ignored.";
                "target" => %target, "source" => source.to_owned());
        }
        let registry = self.registry.borrow();
        let count = i64::try_from(registry.missing().count()).unwrap_or(i64::MAX);
        if count > self.metrics.missing_targets.get() {
            slog::info!(self.log, "targets: Missing from the store, kept for now.";
                "source" => source.to_owned(), "revision" => %registry.revision(),
                "missing" => count, "targets" => registry.len());
        }
        self.metrics.missing_targets.set(count);
    }

    /// Takes the coldness that registered records state into account, after the
    /// registry may have changed. Other nodes that wait for changes are answered.
    pub fn record_coldness(&self, source: &str) {
        let now = self.now();
        let mut cold_targets = self.cold_targets.borrow_mut();
        let mut is_changed = false;
        for record in self.registry.borrow().records() {
            is_changed |= cold_targets.record(record, now);
        }
        drop(cold_targets);
        self.assume_coldness();
        self.publish_coldness(source);
        if is_changed {
            self.changed.notify(usize::MAX);
        }
    }

    /// Takes into account what another node knows of the coldness of a target.
    pub fn merge_coldness(&self, record: &TargetRecord, notice: ColdNotice) {
        let now = self.now();
        let mut cold_targets = self.cold_targets.borrow_mut();
        cold_targets.merge(record, notice, now);
        drop(cold_targets);
        self.publish_coldness("permit query");
    }

    /// Logs and counts the targets that have become cold or warm since the last call.
    /// `source` is logged.
    pub fn publish_coldness(&self, source: &str) {
        let now = self.now();
        let mut cold_targets = self.cold_targets.borrow_mut();
        let changes = cold_targets.take_changes(now);
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            slog::info!(self.log, "targets: Coldness changed.";
                "target" => %change.target, "left" => %change.left,
                "cold" => !change.left.is_zero(), "source" => source.to_owned());
            if change.left.is_zero() {
                self.loads.borrow_mut().clear_pace(&change.target);
            }
        }
        let count = i64::try_from(cold_targets.cold_count(now)).unwrap_or(i64::MAX);
        self.metrics.cold_targets.set(count);
    }

    /// This node's part of the rate of requests that the targets of a service accept
    /// together. `None` unless all of them have limits.
    #[must_use]
    pub fn limited_rate(&self, candidates: &[Arc<TargetRecord>]) -> Option<RateLimit> {
        let now = self.now();
        let rates = candidates.iter().map(|record| {
            let limited = self.request_limit(record)?;
            Some(limited.limit.rate().as_per_second())
        });
        let total: f64 = rates.sum::<Option<f64>>()?;
        let nodes = u32::try_from(self.fleet.borrow().live_count(now)).unwrap_or(u32::MAX);
        RateLimit::per_second(total / f64::from(nodes.max(1))).ok()
    }

    /// Tells a rejected caller of a service when to come back, at the earliest after
    /// `least`. `rate` is the rate at which this node's callers are served.
    #[must_use]
    pub fn assign_return(
        &self,
        service: &PoolName,
        rate: RateLimit,
        least: TimeSpan,
        time_left: TimeSpan,
    ) -> TimeSpan {
        let mut schedules = self.return_schedules.borrow_mut();
        let schedule = schedules.entry(service.clone()).or_default();
        schedule.assign(rate, least, time_left, self.now())
    }

    fn update_limited_targets(&self) {
        let count = self.limits.borrow().limited_count();
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.limited_targets.set(count);
    }

    /// Records that a target has announced that it is leaving. It gets no new
    /// requests, whatever its state in the store.
    pub fn record_leaving(&self, record: &TargetRecord) {
        let mut leaving = self.leaving.borrow_mut();
        let now = self.now();
        let is_new = leaving.insert(&record.id, record.started_at, TimeSpan::ZERO, now);
        drop(leaving);
        if is_new {
            slog::info!(self.log, "targets: Leaves.";
                "target" => %record.id, "service" => %record.service, "source" => "answer");
            self.publish_changes();
        }
    }

    /// Merges notices from the store or from other nodes about evacuated zones.
    /// `source` names the message that brought them, for the log.
    pub fn merge_evacuations(&self, notices: Vec<ZoneNotice>, source: &str) {
        if notices.is_empty() {
            return;
        }
        let mut zones = self.zones.borrow_mut();
        // Also evacuations of whose start this node did not hear.
        let ends = notices
            .iter()
            .filter(|notice| !notice.is_evacuated && zones.is_news(notice));
        let ends: Vec<ZoneNotice> = ends.cloned().collect();
        let changes = zones.merge(notices);
        drop(zones);
        self.record_evacuation_ends(ends);
        self.publish_evacuations(&changes, source);
    }

    /// Applies a listing of the evacuated zones as of `revision`.
    pub fn replace_evacuations(&self, listed: Vec<ZoneNotice>, revision: StoreRevision) {
        let changes = self.zones.borrow_mut().replace(listed, revision);
        let ends = changes.iter().filter(|change| !change.is_evacuated);
        let ends = ends.cloned().collect();
        self.record_evacuation_ends(ends);
        self.publish_evacuations(&changes, "listing");
    }

    fn publish_evacuations(&self, changes: &[ZoneNotice], source: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            slog::info!(self.log, "zones: Evacuation changed.";
                "zone" => %change.zone, "evacuated" => change.is_evacuated,
                "revision" => %change.revision, "source" => source.to_owned());
        }
        let count = i64::try_from(self.zones.borrow().len()).unwrap_or(i64::MAX);
        self.metrics.evacuated_zones.set(count);
        self.publish_changes();
    }

    fn record_evacuation_ends(&self, ends: Vec<ZoneNotice>) {
        if ends.is_empty() {
            return;
        }
        let now = self.now();
        let ends = ends.into_iter().map(|end| (end, now));
        self.evacuation_ends.borrow_mut().extend(ends);
        self.assume_coldness();
        self.publish_coldness("evacuation");
    }

    /// Counts the targets of zones whose evacuation has ended as cold: for lack of
    /// requests they may have become so. A node that starts may learn of their records
    /// and of the configuration after the end.
    fn assume_coldness(&self) {
        let now = self.now();
        let mut ends = self.evacuation_ends.borrow_mut();
        ends.retain(|(_, learned_at)| now.since(*learned_at) < EVACUATION_END_RETENTION);
        let Some(config) = self.config().filter(|_| !ends.is_empty()) else {
            return;
        };
        let registry = self.registry.borrow();
        let mut cold_targets = self.cold_targets.borrow_mut();
        for (end, learned_at) in ends.iter() {
            let in_zone = registry.records().filter(|record| record.zone == end.zone);
            for record in in_zone {
                let spec = config.services.get(&record.service);
                let span = spec.map_or(TimeSpan::ZERO, |spec| spec.cold_start);
                let left = span.saturating_sub(now.since(*learned_at));
                if !left.is_zero() {
                    cold_targets.assume(record, left, end.revision, now);
                }
            }
        }
    }

    /// Merges notices of other nodes about targets that are leaving. `source` is
    /// the address of the peer, for the log.
    pub fn merge_leaving(&self, notices: Vec<LeavingNotice>, source: &str) {
        let new_targets = self.leaving.borrow_mut().merge(notices, self.now());
        if new_targets.is_empty() {
            return;
        }
        for target in &new_targets {
            slog::info!(self.log, "targets: Leaves.";
                "target" => %target, "source" => "peer", "peer" => source);
        }
        self.publish_changes();
    }

    /// Records the deadline that a caller has sent. Returns the estimated time
    /// since the caller's first attempt.
    pub fn record_deadline(&self, route: &RouteSpec, deadline: TimeSpan) -> TimeSpan {
        let mut first_attempts = self.first_attempts.borrow_mut();
        let estimator = first_attempts.entry(route.name.clone()).or_default();
        estimator.observe_deadline(deadline)
    }

    /// Sets the retry reserve to this node's share of the reserve that all nodes
    /// have together. `nodes` is the number of known nodes.
    pub fn update_retry_reserve(&self, nodes: usize) {
        let shares = nodes.max(MIN_RESERVE_SHARES);
        let shares = u32::try_from(shares).unwrap_or(u32::MAX);
        let share = self.profile.retry_reserve / f64::from(shares);
        // The cast saturates.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let share = share as u32;
        self.retry_budget.set_reserve(share.max(1));
    }

    /// A random number.
    #[must_use]
    pub fn random(&self) -> u64 {
        self.rng.borrow_mut().u64(..)
    }

    /// A random number from 0 (inclusive) to 1 (exclusive).
    #[must_use]
    pub fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().f64()
    }
}

/// Creates the retry budget of this node. The reserve is one attempt until the
/// number of nodes that share it is known.
fn retry_budget(profile: &GatewayProfile) -> AttemptBudget {
    const PER_MILLE: f64 = 1_000.0;
    // The cast saturates.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let per_mille = (profile.retry_ratio * PER_MILLE) as u32;
    AttemptBudget::new(per_mille, 1)
}
