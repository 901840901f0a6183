use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use slog::Logger;
use verbenahub_core::{
    clock::ClockTime,
    ids::IncarnationNumber,
    policy::{admission::AdmissionMode, routing::RoutingMode},
    settings::{AdmissionPolicy, NodeSettings, RoutingPolicy},
};

use super::{
    NodeMetrics, ProcessClock, TaskGroup, admission::AdmissionDesk, limits::LimitDesk,
    trace::TraceSource,
};
use crate::{
    cluster::ClusterLink,
    connection::{ClientPool, ServerPhase},
    request::RequestIdGenerator,
    tickets::TicketRegistry,
    version::{ConfigVersions, TargetVersions},
};

/// All that the parts of a node share, for the life of the process.
#[derive(Debug)]
pub struct NodeState {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// This run of the node.
    pub incarnation: IncarnationNumber,
    /// The clock.
    pub clock: ProcessClock,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: NodeMetrics,
    /// Starts spans.
    pub trace: TraceSource,
    /// Connections to targets and nodes.
    pub clients: ClientPool,
    /// The records in force.
    pub config: Arc<ConfigVersions>,
    /// The targets of the membership list.
    pub targets: Arc<TargetVersions>,
    /// The other nodes, and the state of the feeds.
    pub cluster: Arc<ClusterLink>,
    /// The tickets that this process may run.
    pub tickets: TicketRegistry,
    /// Admission of requests.
    pub admission: AdmissionDesk,
    /// Rate limits of workspaces.
    pub limits: LimitDesk,
    /// Ids for requests.
    pub ids: RequestIdGenerator,
    /// Requests in progress and calls that cancel attempts.
    pub requests: TaskGroup,
    /// How far the node is on its way to a stop.
    pub phase: Arc<ServerPhase>,
    stopping: AtomicBool,
}

/// What a node is made of when it starts.
#[derive(Debug)]
pub struct NodeParts {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// This run of the node.
    pub incarnation: IncarnationNumber,
    /// The clock.
    pub clock: ProcessClock,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: NodeMetrics,
    /// Starts spans.
    pub trace: TraceSource,
    /// The records in force.
    pub config: Arc<ConfigVersions>,
    /// The targets of the membership list.
    pub targets: Arc<TargetVersions>,
    /// The other nodes, and the state of the feeds.
    pub cluster: Arc<ClusterLink>,
    /// The tickets that this process may run.
    pub tickets: TicketRegistry,
    /// Tasks of requests.
    pub requests: TaskGroup,
}

impl NodeState {
    /// Creates the state of a node that has just started.
    #[must_use]
    pub fn new(parts: NodeParts) -> Self {
        let settings = parts.settings;
        let queue = settings.limits.queue as usize;
        Self {
            ids: RequestIdGenerator::new(&settings.node, parts.incarnation),
            admission: AdmissionDesk::new(admission_mode(&settings), queue),
            limits: LimitDesk::new(settings.node.clone(), parts.clock.now()),
            clients: ClientPool::default(),
            phase: Arc::default(),
            stopping: AtomicBool::new(false),
            settings,
            incarnation: parts.incarnation,
            clock: parts.clock,
            log: parts.log,
            metrics: parts.metrics,
            trace: parts.trace,
            config: parts.config,
            targets: parts.targets,
            cluster: parts.cluster,
            tickets: parts.tickets,
            requests: parts.requests,
        }
    }

    /// The present reading of the clock.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// How the settings want targets to be chosen.
    #[must_use]
    pub const fn routing_mode(&self) -> RoutingMode {
        match self.settings.policy.routing {
            RoutingPolicy::Adaptive => RoutingMode::Adaptive,
            RoutingPolicy::RoundRobin => RoutingMode::RoundRobin,
            RoutingPolicy::LeastInFlight => RoutingMode::LeastInFlight,
        }
    }

    /// Nodes that share the targets with this one, itself included.
    #[must_use]
    pub fn sharing_nodes(&self) -> usize {
        self.cluster.view().members.live.len().max(1)
    }

    /// Why the node takes no requests, if it takes none.
    #[must_use]
    pub fn unready_reason(&self) -> Option<String> {
        if self.is_stopping() {
            return Some("The node is stopping.".to_owned());
        }
        let readiness = self.cluster.readiness(self.now());
        (!readiness.is_ready()).then(|| format!("The node is not ready: {readiness}."))
    }

    /// Marks the node as stopping, so that the balancer sends no new callers.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether the node is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

const fn admission_mode(settings: &NodeSettings) -> AdmissionMode {
    match settings.policy.admission {
        AdmissionPolicy::Deadline => AdmissionMode::Adaptive,
        AdmissionPolicy::None => AdmissionMode::None,
    }
}
