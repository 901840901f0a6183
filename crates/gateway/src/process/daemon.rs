//! Startup, signal handling and shutdown of the gateway process.

use std::{
    env, fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    rc::Rc,
};

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use smol::{Async, LocalExecutor};
use verbenahub_core::settings::GatewayProfile;
use verbenahub_platform::{SETTINGS_VARIABLE, decode_node_file};

use super::{
    DaemonArgs, GatewayClock, GatewayMetrics, GatewaySettings, GatewayState, LocalTasks, LogBuffer,
    RunError, Shared, drain_driver::DrainDriver, executor_monitor::ExecutorMonitor, listen,
    metrics_listener::MetricsListener, readiness_listener::ReadinessListener,
};
use crate::{
    front::CallerListener,
    peers::{GossipDriver, PeerListener},
    store::StoreSync,
};

/// Runs the gateway until a signal stops it. With `args.check`, only checks the
/// settings.
///
/// # Errors
///
/// Fails when the settings are invalid, or when sockets, signal handlers or
/// metrics can't be set up.
pub fn run(args: &DaemonArgs) -> Result<(), RunError> {
    let settings = match &args.settings {
        Some(path) => GatewaySettings::load(path)?,
        None => GatewaySettings::default(),
    };
    if args.check && env::var_os(SETTINGS_VARIABLE).is_none() {
        return Ok(());
    }
    let profile = read_profile()?;
    if args.check {
        return Ok(());
    }
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(serve(profile, settings, Rc::clone(&executor))))
}

fn read_profile() -> Result<GatewayProfile, RunError> {
    let path = env::var_os(SETTINGS_VARIABLE).ok_or(RunError::NoNodeFile(SETTINGS_VARIABLE))?;
    let path = PathBuf::from(path);
    let text = fs::read_to_string(&path).map_err(|source| RunError::Read {
        path: path.clone(),
        source,
    })?;
    decode_node_file(&text).map_err(|source| RunError::NodeFile { path, source })
}

async fn serve(
    mut profile: GatewayProfile,
    settings: GatewaySettings,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), RunError> {
    let log_buffer = LogBuffer::default();
    let log = log_buffer.logger(settings.level());
    let tasks = LocalTasks::new(executor);
    let (caller_shutdown, caller_shutdown_signal) = async_channel::bounded(1);
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(RunError::setup("signal handlers"))?;
    let callers = open("caller listener", profile.caller_address)?;
    let ready = open("ready listener", profile.readiness_address)?;
    let peers = open("peer listener", profile.peer_address)?;
    let metrics_address = SocketAddr::new(profile.caller_address.ip(), settings.metrics_port);
    let metrics = open("metrics listener", metrics_address)?;
    let startup_profile = profile.clone();
    // With port 0 in the settings, the system has chosen the port.
    profile.caller_address = local_address(&callers)?;
    profile.readiness_address = local_address(&ready)?;
    profile.peer_address = local_address(&peers)?;
    slog::info!(log, "gateway: Started.";
        "ready" => %profile.readiness_address, "metrics" => %local_address(&metrics)?,
        "node" => %profile.node, "zone" => %profile.zone, "front" => %profile.caller_address,
        "peers" => %profile.peer_address, "store" => %profile.store_address,
        "seeds" => profile.seeds.len(),
        "version" => env!("CARGO_PKG_VERSION"));
    let shared: Shared = Rc::new(GatewayState::new(
        profile,
        GatewayClock::start(),
        log,
        GatewayMetrics::new()?,
        tasks.new_group(),
        caller_shutdown_signal,
    ));
    let writer = log_buffer.clone();
    tasks.spawn(async move { writer.run().await });
    tasks.spawn(ExecutorMonitor::new(Shared::clone(&shared)).run());
    tasks.spawn(StoreSync::new(Shared::clone(&shared)).run());
    tasks.spawn(GossipDriver::new(Shared::clone(&shared)).run());
    tasks.spawn(PeerListener::new(Shared::clone(&shared)).run(peers));
    tasks.spawn(ReadinessListener::new(Shared::clone(&shared)).run(ready));
    tasks.spawn(MetricsListener::new(Shared::clone(&shared), log_buffer.clone()).run(metrics));
    let connections = tasks.new_group();
    let caller_listener = CallerListener::new(Shared::clone(&shared), connections.clone());
    let accepting = tasks.spawn_owned(caller_listener.run(callers));
    wait_for_stop(&shared, &startup_profile, &mut signals).await;
    DrainDriver::new(Shared::clone(&shared), accepting, caller_shutdown)
        .run()
        .await;
    slog::info!(shared.log, "gateway: Stopped.");
    connections.cancel().await;
    shared.tasks.cancel().await;
    tasks.cancel().await;
    // Lines that standard output doesn't accept now are lost.
    let _ = log_buffer.flush();
    Ok(())
}

fn open(what: &str, address: SocketAddr) -> Result<Async<TcpListener>, RunError> {
    listen(address).map_err(RunError::setup(format!("{what} on {address}")))
}

fn local_address(listener: &Async<TcpListener>) -> Result<SocketAddr, RunError> {
    let address = listener.get_ref().local_addr();
    address.map_err(RunError::setup("address of a listener"))
}

/// Waits for a signal to stop. On SIGHUP, checks the settings file and logs
/// whether it has changed; changes take effect only after a restart.
async fn wait_for_stop(shared: &Shared, startup_profile: &GatewayProfile, signals: &mut Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => match read_profile() {
                Ok(profile) => slog::info!(shared.log, "gateway: Settings read again.";
                    "changed" => profile != *startup_profile),
                Err(error) => slog::error!(shared.log, "gateway: Settings are invalid.";
                    "error" => %error),
            },
            Ok(signal) => {
                slog::info!(shared.log, "gateway: Told to stop."; "signal" => ?signal);
                return;
            }
            Err(error) => slog::error!(shared.log, "gateway: Could not read a signal.";
                "error" => %error),
        }
    }
}
