//! The process from its start to its end.

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
    RunError, Shared, drain_driver::DrainDriver, listen, metrics_listener::MetricsListener,
    readiness_listener::ReadinessListener,
};
use crate::{
    front::CallerListener,
    peers::{GossipRound, PeerFront},
    store::StoreSync,
};

/// Runs the gateway until it is told to stop.
///
/// # Errors
///
/// Fails when settings or sockets can't be used.
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
    let lines = LogBuffer::default();
    let log = lines.logger(settings.level());
    let tasks = LocalTasks::new(executor);
    let (ending, ended) = async_channel::bounded(1);
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(RunError::setup("signal handlers"))?;
    let front = open("caller listener", profile.caller_address)?;
    let ready = open("ready listener", profile.readiness_address)?;
    let peers = open("peer listener", profile.peer_address)?;
    let metrics_address = SocketAddr::new(profile.caller_address.ip(), settings.metrics_port);
    let metrics = open("metrics listener", metrics_address)?;
    let read = profile.clone();
    // The system may have chosen the ports.
    profile.caller_address = local_address(&front)?;
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
        ended,
    ));
    let writer = lines.clone();
    tasks.spawn(async move { writer.run().await });
    tasks.spawn(StoreSync::new(Shared::clone(&shared)).run());
    tasks.spawn(GossipRound::new(Shared::clone(&shared)).run());
    tasks.spawn(PeerFront::new(Shared::clone(&shared)).run(peers));
    tasks.spawn(ReadinessListener::new(Shared::clone(&shared)).run(ready));
    tasks.spawn(MetricsListener::new(Shared::clone(&shared), lines.clone()).run(metrics));
    let connections = tasks.new_group();
    let callers = CallerListener::new(Shared::clone(&shared), connections.clone());
    let accepting = tasks.spawn_owned(callers.run(front));
    wait_for_stop(&shared, &read, &mut signals).await;
    DrainDriver::new(Shared::clone(&shared), accepting, ending)
        .run()
        .await;
    slog::info!(shared.log, "gateway: Stopped.");
    connections.cancel().await;
    shared.tasks.cancel().await;
    tasks.cancel().await;
    // What the output doesn't take now is lost with the process.
    let _ = lines.flush();
    Ok(())
}

fn open(what: &str, address: SocketAddr) -> Result<Async<TcpListener>, RunError> {
    listen(address).map_err(RunError::setup(format!("{what} on {address}")))
}

fn local_address(listener: &Async<TcpListener>) -> Result<SocketAddr, RunError> {
    let address = listener.get_ref().local_addr();
    address.map_err(RunError::setup("address of a listener"))
}

/// Waits for a signal to stop. A changed settings file is checked and noted;
/// what it may change takes a restart.
async fn wait_for_stop(shared: &Shared, read: &GatewayProfile, signals: &mut Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => match read_profile() {
                Ok(profile) => slog::info!(shared.log, "gateway: Settings read again.";
                    "changed" => profile != *read),
                Err(error) => slog::error!(shared.log, "gateway: Settings not usable.";
                    "error" => %error),
            },
            Ok(signal) => {
                slog::info!(shared.log, "gateway: Told to stop."; "signal" => ?signal);
                return;
            }
            Err(error) => slog::error!(shared.log, "gateway: Signal not read.";
                "error" => %error),
        }
    }
}
