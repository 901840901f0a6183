//! Targets that drain while a request that was meant for them waits at the gateway.

mod support;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use serde_json::{Value, json};
use support::{
    CallerRequest, GatewayProcess, RawResponse, any_port, config, register, register_with_state,
    route, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, ReplyStep, RunLog, StoreServer,
};

/// Time that the first engine takes to read the prompt of the request `long`.
const LONG_READ: Duration = Duration::from_millis(1_200);
/// Limit of the first target. The next permit is due after five seconds, or after a
/// minute from a node that has just started.
const LIMIT: &str = "0.2";
/// A limit whose next permit is due after half a second, or after six from a node
/// that has just started.
const SHORT_LIMIT: &str = "2";
/// Latency goal so long that requests wait for such permits.
const GOAL_MS: u32 = 150_000;

/// How a target stops accepting work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// It reports that it drains.
    Draining,
    /// Its record is removed.
    Removed,
}

/// A gateway before the target `t0` of one service, which names a limit on request.
struct WaitingFixture {
    gateway: GatewayProcess,
    store: StoreServer,
    log: RunLog,
    service: &'static str,
    limit: Arc<Mutex<Option<&'static str>>>,
    /// Whether the first target refuses requests and asks for none for a while.
    is_refusing: Arc<AtomicBool>,
    targets: Vec<PlainTarget>,
}

impl WaitingFixture {
    fn start(service: &'static str) -> Self {
        let store = StoreServer::start(any_port()).expect("the store starts");
        let mut booked = route("book", "/book/", "non_idempotent", "desk", 1);
        let mut told = route("tell", "/tell/", "streaming", "pool", 1);
        for route in [&mut booked, &mut told] {
            route["GoalMs"] = json!(GOAL_MS);
            route["TimeoutMs"] = json!(2 * GOAL_MS);
        }
        store.put("op/config", &config(3, &[booked, told]));
        let (log, limit, is_refusing) = (RunLog::default(), Arc::default(), Arc::default());
        let first = start_target("t0", service, &log, &limit, &is_refusing);
        register(&store, "t0", service, first.server().address());
        let gateway = GatewayProcess::start_ready("n1", store.address());
        gateway.wait_log_line(|line| line["targets"] == 1);
        Self {
            gateway,
            store,
            log,
            service,
            limit,
            is_refusing,
            targets: vec![first],
        }
    }

    fn send(&self, request: CallerRequest) -> JoinHandle<RawResponse> {
        let front = self.gateway.caller_address;
        thread::spawn(move || request.fetch(front))
    }

    /// Registers a second target, `t1`, and waits until the gateway knows it.
    fn add_target(&mut self) {
        let (limit, is_refusing) = (Arc::default(), Arc::default());
        let target = start_target("t1", self.service, &self.log, &limit, &is_refusing);
        register(&self.store, "t1", self.service, target.server().address());
        self.targets.push(target);
        self.gateway.wait_log_line(|line| line["targets"] == 2);
    }

    /// Makes the first target stop accepting work, and waits until the gateway knows.
    fn depart(&self, departure: Departure) {
        let changes = self.change_count();
        let address = self.targets[0].server().address();
        match departure {
            Departure::Draining => {
                register_with_state(&self.store, "t0", self.service, address, "draining");
            }
            Departure::Removed => self.store.remove("servers/t0"),
        }
        wait_for("the departure to be known", || {
            self.change_count() > changes
        });
    }

    fn change_count(&self) -> usize {
        let lines = self.gateway.log_lines();
        let changes = lines
            .iter()
            .filter(|line| line["msg"] == "targets: Changed.");
        changes.count()
    }

    fn target_of(&self, request: &str) -> Option<String> {
        let runs = self.log.runs_of(request);
        runs.first().map(|run| run.target.clone())
    }
}

fn start_target(
    id: &str,
    service: &'static str,
    log: &RunLog,
    limit: &Arc<Mutex<Option<&'static str>>>,
    is_refusing: &Arc<AtomicBool>,
) -> PlainTarget {
    let (limit, refusing) = (Arc::clone(limit), Arc::clone(is_refusing));
    let target = PlainTarget::start(any_port(), id, log, move |call: &RawCall| {
        if refusing.load(Ordering::SeqCst) {
            return PlainTarget::refusal().with_header("Retry-After", "30");
        }
        let mut reply = if service == "desk" {
            PlainTarget::signed(call, "200 OK", b"booked")
        } else {
            EngineTarget::stream(call, 2, Duration::ZERO).last_chunk()
        };
        if let Some(limit) = *limit.lock().expect("the lock is not poisoned") {
            reply = reply.with_header("Server-Limit", limit);
        }
        if call.header("Attempt-Id") == Some("long") {
            reply.steps.insert(0, ReplyStep::Wait(LONG_READ));
        }
        reply
    });
    target.expect("the target starts")
}

fn booking(id: &str) -> CallerRequest {
    let mut request = CallerRequest::new("POST", "/book/a", id);
    request.deadline_ms = 2 * GOAL_MS;
    request
}

fn prompt(id: &str, parts: &str) -> CallerRequest {
    let request = CallerRequest::new("POST", "/tell/a", id);
    request.with_header("Prompt-Prefix", parts)
}

fn is_permit_wait(line: &Value, request: &str) -> bool {
    line["msg"] == "targets: Permit decided."
        && line["request"] == request
        && line["outcome"] == "granted"
        && line["wait"] != "0 ms"
}

/// Sends bookings to a target with a limit until one of them waits for its permit.
fn wait_for_permit(fixture: &WaitingFixture) -> (String, JoinHandle<RawResponse>) {
    *fixture.limit.lock().expect("the lock is not poisoned") = Some(LIMIT);
    for number in 0..20 {
        let id = format!("b{number}");
        let caller = fixture.send(booking(&id));
        let own = id.clone();
        wait_for("a decision or an answer", || {
            let lines = fixture.gateway.log_lines();
            caller.is_finished() || lines.iter().any(|line| is_permit_wait(line, &own))
        });
        if !caller.is_finished() {
            return (id, caller);
        }
    }
    panic!("no request waits for a permit");
}

/// Guards against review/4: a request that waited for a permit reached a target that had
/// drained meanwhile.
#[test]
fn request_that_waits_for_a_permit_does_not_reach_a_target_that_departs() {
    for departure in [Departure::Draining, Departure::Removed] {
        let mut fixture = WaitingFixture::start("desk");
        let (id, caller) = wait_for_permit(&fixture);
        fixture.add_target();
        fixture.depart(departure);
        let response = caller.join().expect("an answer");
        assert_eq!(response.status, 200, "{departure:?}");
        assert_eq!(
            fixture.target_of(&id).as_deref(),
            Some("t1"),
            "{departure:?}"
        );
    }
}

/// Guards against a request that waits in vain for a permit of a target that departs,
/// instead of being rejected as not run.
#[test]
fn request_whose_only_target_departs_is_rejected_without_a_run() {
    let fixture = WaitingFixture::start("desk");
    let (id, caller) = wait_for_permit(&fixture);
    fixture.depart(Departure::Draining);
    let response = caller.join().expect("an answer");
    assert_eq!(response.status, 503);
    assert_eq!(fixture.target_of(&id), None);
}

/// Guards against the second way to review/4: a request that waited until another one's
/// prompt was read reached an engine that had drained meanwhile.
#[test]
fn request_that_waits_for_a_shared_prompt_does_not_reach_an_engine_that_departs() {
    for departure in [Departure::Draining, Departure::Removed] {
        let mut fixture = WaitingFixture::start("pool");
        let long = fixture.send(prompt("long", "aa:12000,bb:50"));
        wait_for("the long prompt", || fixture.target_of("long").is_some());
        let caller = fixture.send(prompt("r1", "aa:12000,cc:50"));
        // The request is in progress, and waits, as soon as the gateway counts it.
        wait_for("the second request", || {
            fixture.gateway.metric("requests_in_flight") == Some(2.0)
        });
        fixture.add_target();
        fixture.depart(departure);
        let response = caller.join().expect("an answer");
        assert!(response.is_complete, "{departure:?}");
        assert_eq!(
            fixture.target_of("r1").as_deref(),
            Some("t1"),
            "{departure:?}"
        );
        assert!(long.join().expect("an answer").is_complete);
    }
}

/// Guards against requests that are sent to a target during the time for which it has
/// asked for none, since they had waited for their permits before.
#[test]
fn request_that_waits_for_a_permit_heeds_a_later_retry_after() {
    let fixture = WaitingFixture::start("desk");
    *fixture.limit.lock().expect("the lock is not poisoned") = Some(SHORT_LIMIT);
    let named = fixture.send(booking("named")).join().expect("an answer");
    assert_eq!(named.status, 200);
    fixture.is_refusing.store(true, Ordering::SeqCst);
    let callers = ["b0", "b1"].map(|id| fixture.send(booking(id)));
    for caller in callers {
        assert_eq!(caller.join().expect("an answer").status, 503);
    }
    let runs = ["b0", "b1"].map(|id| fixture.log.runs_of(id).len());
    assert_eq!(
        runs.iter().sum::<usize>(),
        1,
        "one request is refused there"
    );
}
