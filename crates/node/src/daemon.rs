//! Starts the parts of a node, and stops them in order.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use slog::{Level, Logger};
use smol::{Timer, net::TcpListener};
use thiserror::Error;
use verbenahub_core::{
    clock::TimeSpan,
    cluster::{ClusterSettings, Readiness},
    feed::{FeedKind, FeedLimits},
    findings::FindingList,
    ids::IncarnationNumber,
    settings::{LogLevel, NodeSettings, TraceSettings},
    ticket::{IncarnationKey, TicketHolder},
    units::ByteSize,
};

use crate::{
    cli::DaemonArgs,
    cluster::{ClusterDriver, ClusterOptions, FeedUpdate},
    connection::{HttpServer, ServerEvent, ServerLimits, ServerPhase},
    drain::{DaemonEnd, DrainDriver},
    process::{
        InternalFront, NodeMetrics, NodeParts, NodeState, ProcessClock, TaskGroup, ThreadPool,
        limits::run_leases, run_placement, run_upkeep, start_log, trace,
    },
    request::RequestHandler,
    tickets::TicketRegistry,
    version::{ConfigVersions, TargetVersions},
};

/// Time without progress after which an answer to a slow caller is given up.
const WRITE_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);
/// Bytes of one call between nodes, or of a ticket call that is passed on.
const INTERNAL_BYTES: ByteSize = ByteSize::from_mib(68);
/// Interval at which the node looks for another process under its id.
const SUPERSEDED_INTERVAL: Duration = Duration::from_secs(1);
/// Random bits in the number of an incarnation.
const INCARNATION_BITS: u32 = 12;
/// Time for the last calls between nodes at the end of the process.
const INTERNAL_CLOSE_SPAN: TimeSpan = TimeSpan::from_secs(1);

/// Why the daemon did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings cannot be read.
    #[error("The settings cannot be read from {0}: {1}")]
    Read(String, #[source] io::Error),
    /// The settings have findings.
    #[error("The settings have findings:\n{0}")]
    Settings(FindingList),
    /// A listening address cannot be used.
    #[error("The address {0} cannot be used: {1}")]
    Listen(SocketAddr, #[source] io::Error),
    /// The operating system refused something else.
    #[error("The start failed: {0}")]
    System(#[from] io::Error),
    /// The metrics are inconsistent.
    #[error("The metrics cannot be set up: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Runs a node until it is told to stop.
///
/// # Errors
///
/// Fails when the node cannot start.
pub fn run(args: &DaemonArgs) -> Result<DaemonEnd, StartError> {
    let settings = load_settings(args)?;
    let pool = ThreadPool::start(settings.threads as usize)?;
    let (log, _flush) = start_log(log_level(settings.log.level), settings.log.format);
    let tasks = TaskGroup::new(Arc::clone(pool.executor()));
    let end = pool.block_on(serve(settings, log.clone(), tasks))?;
    slog::info!(log, "daemon: Stopped."; "end" => ?end);
    Ok(end)
}

async fn serve(
    settings: NodeSettings,
    log: Logger,
    tasks: TaskGroup,
) -> Result<DaemonEnd, StartError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let public = bind(settings.listen).await?;
    let internal = bind(settings.internal_listen).await?;
    let address = public.local_addr()?;
    let internal_address = internal.local_addr()?;
    let parts = start_parts(settings, log, &tasks, internal_address)?;
    let node = Arc::new(NodeState::new(parts));
    let connections = tasks.sibling();
    let internal_connections = tasks.sibling();
    let accepting = serve_public(Arc::clone(&node), public, connections.clone());
    let accepting = tasks.spawn_owned(accepting);
    let internal_phase = Arc::new(ServerPhase::default());
    tasks.spawn(serve_internal(
        Arc::clone(&node),
        internal,
        internal_connections.clone(),
        Arc::clone(&internal_phase),
    ));
    tasks.spawn(run_upkeep(Arc::clone(&node)));
    tasks.spawn(run_leases(Arc::clone(&node), tasks.clone()));
    tasks.spawn(run_placement(Arc::clone(&node), tasks.clone()));
    slog::info!(node.log, "daemon: Serving.";
        "node" => %node.settings.node, "incarnation" => %node.incarnation,
        "listen" => %address, "internal" => %internal_address);
    let told = async {
        signals.next().await;
    };
    told.or(superseded(&node)).await;
    let drain = DrainDriver::new(Arc::clone(&node), accepting, connections);
    let end = drain.run(&mut signals).await;
    close_internal(&internal_phase, &internal_connections).await;
    tasks.cancel().await;
    node.trace.shutdown();
    Ok(end)
}

/// Resolves when another process runs under this node's id: this one can never
/// take requests again, and must not stay in its place.
async fn superseded(node: &NodeState) {
    while node.cluster.readiness(node.now()) != Readiness::Superseded {
        Timer::after(SUPERSEDED_INTERVAL).await;
    }
    slog::error!(node.log, "daemon: Another process runs under this node id.");
}

/// Starts the cluster's driver and gathers what the node is made of.
fn start_parts(
    settings: NodeSettings,
    log: Logger,
    tasks: &TaskGroup,
    internal_address: SocketAddr,
) -> Result<NodeParts, StartError> {
    let clock = ProcessClock::start();
    let incarnation = new_incarnation();
    let trace = trace::TraceSource::start(
        &settings.node,
        &settings.zone,
        settings.trace.sample.get(),
        trace_sink(&settings.trace)?,
    );
    let config = Arc::new(ConfigVersions::default());
    let targets = Arc::new(TargetVersions::new(
        settings.node.clone(),
        settings.zone.clone(),
    ));
    let options = ClusterOptions {
        settings: ClusterSettings {
            node: settings.node.clone(),
            address: internal_address,
            zone: settings.zone.clone(),
            incarnation,
            seeds: settings.seeds.clone(),
            limits: FeedLimits::default(),
            rng_seed: incarnation.get(),
        },
        config_service: settings.config_service.clone(),
        membership_service: settings.membership_service.clone(),
        secret: settings.cluster_secret.clone(),
        clock,
        log: log.clone(),
    };
    let sink = feed_sink(Arc::clone(&config), Arc::clone(&targets), log.clone());
    let driver = ClusterDriver::new(options, sink);
    let cluster = driver.link();
    tasks.spawn(driver.run(tasks.clone()));
    let holder = TicketHolder {
        incarnation: IncarnationKey {
            node: settings.node.clone(),
            incarnation,
        },
        address: internal_address,
    };
    let secret = &settings.cluster_secret;
    let tickets = TicketRegistry::new(holder, settings.tickets.limits, secret);
    Ok(NodeParts {
        settings,
        incarnation,
        clock,
        log,
        metrics: NodeMetrics::new()?,
        trace,
        config,
        targets,
        cluster,
        tickets,
        requests: tasks.sibling(),
    })
}

/// Puts the changes of the feeds in force.
fn feed_sink(
    config: Arc<ConfigVersions>,
    targets: Arc<TargetVersions>,
    log: Logger,
) -> impl FnMut(&FeedUpdate) + Send + 'static {
    move |update| match update.feed {
        FeedKind::Config => config.apply(&update.entries()),
        FeedKind::Vms => {
            for key in targets.apply(&update.entries()) {
                slog::warn!(log, "targets: Entry unreadable."; "key" => key);
            }
        }
    }
}

/// Lets the news of the stop out and ends the calls of other nodes.
async fn close_internal(phase: &ServerPhase, connections: &TaskGroup) {
    phase.end_connections();
    phase.close();
    let late = async {
        Timer::after(INTERNAL_CLOSE_SPAN.into()).await;
    };
    connections.join().or(late).await;
    connections.cancel().await;
}

async fn serve_public(node: Arc<NodeState>, listener: TcpListener, connections: TaskGroup) {
    let limits = server_limits(&node.settings);
    let server = HttpServer::new(listener, limits, Arc::clone(&node.phase));
    let front = RequestHandler::new(Arc::clone(&node));
    let handler = move |request, stream| front.clone().answer(request, stream);
    let report = move |event| count_event(&node, event);
    server.run(&connections, handler, report).await;
}

async fn serve_internal(
    node: Arc<NodeState>,
    listener: TcpListener,
    connections: TaskGroup,
    phase: Arc<ServerPhase>,
) {
    let limits = ServerLimits {
        // What nodes exchange does not follow the limits for callers.
        request_bytes: INTERNAL_BYTES,
        ..server_limits(&node.settings)
    };
    let server = HttpServer::new(listener, limits, phase);
    let front = InternalFront::new(&node);
    let handler = move |request, stream| front.clone().answer(request, stream);
    let report = move |event| count_event(&node, event);
    server.run(&connections, handler, report).await;
}

fn count_event(node: &NodeState, event: ServerEvent) {
    let reason = match event {
        ServerEvent::Malformed => "malformed",
        ServerEvent::TooManyConnections => "too_many_connections",
        ServerEvent::SlowSender => "slow_sender",
        ServerEvent::SlowReader => "slow_reader",
    };
    node.metrics.rejected.with_label_values(&[reason]).inc();
    slog::info!(node.log, "connection: Refused."; "reason" => reason);
}

fn load_settings(args: &DaemonArgs) -> Result<NodeSettings, StartError> {
    let source = args.config.display().to_string();
    let text = std::fs::read_to_string(&args.config)
        .map_err(|error| StartError::Read(source.clone(), error))?;
    NodeSettings::load(&source, &text, &args.set).map_err(StartError::Settings)
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listen(address, error))
}

fn server_limits(settings: &NodeSettings) -> ServerLimits {
    let limits = &settings.limits;
    let bytes = limits.header.as_bytes() + limits.body.as_bytes();
    ServerLimits {
        connections: limits.connections as usize,
        request_bytes: ByteSize::from_bytes(bytes),
        head_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
        write_timeout: WRITE_TIMEOUT,
    }
}

fn trace_sink(settings: &TraceSettings) -> io::Result<Option<trace::TraceSink>> {
    if let Some(collector) = settings.collector {
        return Ok(Some(trace::TraceSink::Collector(collector)));
    }
    settings
        .path
        .as_deref()
        .map(trace::TraceSink::open_file)
        .transpose()
}

fn log_level(level: LogLevel) -> Level {
    level.to_string().parse().unwrap_or(Level::Info)
}

/// A number that rises with each start and differs between starts within one
/// millisecond.
fn new_incarnation() -> IncarnationNumber {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let millis = u64::try_from(since.as_millis()).unwrap_or(u64::MAX >> INCARNATION_BITS);
    let random = fastrand::u64(..1 << INCARNATION_BITS);
    IncarnationNumber::new((millis << INCARNATION_BITS) | random)
}
