//! The limit that targets name holds while gateways are killed, frozen, stopped and
//! started again.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use rustix::process::Signal;
use support::{CallerRequest, GatewayProcess, default_store, start_targets, wait_for};
use verbenahub_platform_standin::{PlainTarget, RawCall, RunLog};

const LIMIT_HEADER: &str = "Server-Limit";
/// Limit of each target, in requests a second.
const LIMIT: &str = "2";
/// Requests that a target may get in a window: one and a half times what its limit
/// allows, and five.
const ALLOWED: usize = 17;
const WINDOW: Duration = Duration::from_secs(4);
const GATEWAYS: usize = 4;
/// Time for which the fleet is left alone between two troubles.
const CALM: Duration = Duration::from_secs(3);
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(30);
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// When requests reached each target.
#[derive(Clone, Default)]
struct Arrivals(Arc<Mutex<Vec<(String, Instant)>>>);

impl Arrivals {
    fn record(&self, target: &str) {
        let mut arrivals = self.0.lock().expect("the lock is not poisoned");
        arrivals.push((target.to_owned(), Instant::now()));
    }

    fn count(&self) -> usize {
        self.0.lock().expect("the lock is not poisoned").len()
    }

    /// Largest number of requests that one target got in a window, without the first
    /// `skipped` requests.
    fn most_in_window(&self, skipped: usize) -> usize {
        let arrivals = self.0.lock().expect("the lock is not poisoned");
        let arrivals = &arrivals[skipped..];
        let in_window = |target: &str, begun: Instant| {
            let own = arrivals.iter().filter(|(other, _)| other == target);
            own.filter(|(_, at)| *at >= begun && *at < begun + WINDOW)
                .count()
        };
        let counts = arrivals
            .iter()
            .map(|(target, begun)| in_window(target, *begun));
        counts.max().unwrap_or_default()
    }
}

/// A caller that sends requests to one address until it is told to stop, whether
/// they are answered or not.
struct Caller {
    address: Arc<Mutex<SocketAddr>>,
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Caller {
    fn start(name: usize, address: SocketAddr) -> Self {
        let address = Arc::new(Mutex::new(address));
        let is_over: Arc<AtomicBool> = Arc::default();
        let (own_address, own_over) = (Arc::clone(&address), Arc::clone(&is_over));
        let thread = thread::spawn(move || {
            let mut number = 0;
            while !own_over.load(Ordering::Relaxed) {
                let id = format!("caller-{name}-{number}");
                let address = *own_address.lock().expect("the lock is not poisoned");
                // Gateways that are down or frozen are part of the test.
                let _ = send(address, &CallerRequest::new("POST", "/book/a", &id));
                number += 1;
                thread::sleep(CALLER_PAUSE);
            }
        });
        Self {
            address,
            is_over,
            thread: Some(thread),
        }
    }

    fn set_address(&self, address: SocketAddr) {
        *self.address.lock().expect("the lock is not poisoned") = address;
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn send(address: SocketAddr, request: &CallerRequest) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, CALLER_TIMEOUT)?;
    stream.set_read_timeout(Some(CALLER_TIMEOUT))?;
    stream.write_all(&request.encode())?;
    let mut byte = [0];
    stream.read_exact(&mut byte)
}

/// Position of the gateway that grants the permits, as the last decision at any of
/// the gateways names it.
fn owner(gateways: &[GatewayProcess]) -> usize {
    let owner = gateways.iter().position(|gateway| {
        let lines = gateway.log_lines();
        let mut decisions = lines.iter().rev();
        let last = decisions.find(|line| line["msg"] == "targets: Permit decided.");
        last.is_some_and(|line| line["source"] == "own")
    });
    owner.expect("a gateway grants permits")
}

#[test]
fn limit_holds_while_its_owner_is_killed_frozen_and_restarted() {
    let store = default_store();
    let (log, arrivals) = (RunLog::default(), Arrivals::default());
    let _targets: Vec<PlainTarget> = (0..2)
        .flat_map(|index| {
            let (own, id) = (arrivals.clone(), format!("t{index}-"));
            start_targets(
                &store,
                &log,
                "desk",
                &id.clone(),
                1,
                move |call: &RawCall| {
                    own.record(&id);
                    PlainTarget::signed(call, "200 OK", b"done").with_header(LIMIT_HEADER, LIMIT)
                },
            )
        })
        .collect();
    let mut gateways = GatewayProcess::start_fleet(GATEWAYS, store.address());
    let callers: Vec<Caller> = gateways
        .iter()
        .enumerate()
        .map(|(index, gateway)| Caller::start(index, gateway.caller_address))
        .collect();
    let knows_limits = |gateway: &GatewayProcess| gateway.metric("limited_targets") == Some(2.0);
    wait_for("the limits", || gateways.iter().all(knows_limits));
    let known_at = arrivals.count();
    thread::sleep(CALM);
    for signal in [Signal::KILL, Signal::STOP, Signal::TERM] {
        let index = owner(&gateways);
        gateways[index].signal(signal);
        if signal == Signal::STOP {
            thread::sleep(CALM);
            gateways[index].signal(Signal::CONT);
        } else {
            let seeds: Vec<SocketAddr> = gateways.iter().map(|other| other.peer_address).collect();
            let name = format!("n{index}");
            gateways[index] = GatewayProcess::start(&name, store.address(), &seeds);
            callers[index].set_address(gateways[index].caller_address);
        }
        thread::sleep(CALM);
    }
    let before = arrivals.count();
    wait_for("requests after the troubles", || arrivals.count() > before);
    drop(callers);
    let most = arrivals.most_in_window(known_at);
    println!("{most} requests in a window at most, {ALLOWED} allowed");
    assert!(most <= ALLOWED, "{most} requests in a window");
}
