//! The choice of engines: one node chooses for the prompts of all nodes.

mod support;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use support::{CallerRequest, GatewayProcess, any_port, default_store, register};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, ReplyStep, RunLog, StoreServer,
};

/// Time that an engine takes to read the prompt of the request `long`.
const LONG_READ: Duration = Duration::from_millis(1_500);
/// Time between the chunks of an answer.
const CHUNK_INTERVAL: Duration = Duration::from_millis(5);
const GATEWAYS: usize = 3;

/// Several gateways with two engines. The prompt of the request `long` takes
/// [`LONG_READ`] to read.
struct ChoiceFixture {
    gateways: Vec<GatewayProcess>,
    log: RunLog,
    /// When each request first arrived at an engine.
    arrivals: Arc<Mutex<HashMap<String, Instant>>>,
    _engines: Vec<PlainTarget>,
    _store: StoreServer,
}

impl ChoiceFixture {
    fn start(count: usize) -> Self {
        let store = default_store();
        let log = RunLog::default();
        let arrivals: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
        let engines = ["e0", "e1"].map(|id| {
            let arrivals = Arc::clone(&arrivals);
            let engine = PlainTarget::start(any_port(), id, &log, move |call: &RawCall| {
                let id = call.header("Attempt-Id").unwrap_or_default().to_owned();
                let mut seen = arrivals.lock().unwrap_or_else(PoisonError::into_inner);
                seen.entry(id).or_insert_with(Instant::now);
                drop(seen);
                let mut reply = EngineTarget::stream(call, 2, CHUNK_INTERVAL).last_chunk();
                if call.header("Attempt-Id") == Some("long") {
                    reply.steps.insert(0, ReplyStep::Wait(LONG_READ));
                }
                reply
            });
            let engine = engine.expect("an engine");
            register(&store, id, "pool", engine.server().address());
            engine
        });
        let gateways = GatewayProcess::start_fleet(count, store.address());
        for gateway in &gateways {
            gateway.wait_log_line(|line| line["targets"] == 2);
        }
        Self {
            gateways,
            log,
            arrivals,
            _engines: engines.into(),
            _store: store,
        }
    }

    fn engine_of(&self, request: &str) -> Option<String> {
        let runs = self.log.runs_of(request);
        runs.first().map(|run| run.target.clone())
    }

    fn arrival(&self, request: &str) -> Instant {
        let seen = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        seen[request]
    }
}

fn prompt(id: &str, parts: &str) -> CallerRequest {
    CallerRequest::new("POST", "/tell/a", id).with_header("Prompt-Prefix", parts)
}

#[test]
fn prompts_from_all_nodes_go_to_the_engine_with_less_to_read() {
    let fixture = ChoiceFixture::start(GATEWAYS);
    let front = fixture.gateways[0].caller_address;
    let long = thread::spawn(move || prompt("long", "aa:1000,bb:60000").fetch(front));
    support::wait_for("the long prompt", || fixture.engine_of("long").is_some());
    let busy = fixture.engine_of("long");
    for number in 0..12 {
        let id = format!("r{number}");
        let parts = format!("{number:x}c:200,{number:x}d:50");
        let answer = prompt(&id, &parts).fetch(fixture.gateways[number % GATEWAYS].caller_address);
        assert!(answer.is_complete, "{}", answer.status);
        assert!(!long.is_finished(), "the long prompt is still being read");
        assert_ne!(fixture.engine_of(&id), busy, "{id}");
    }
    assert!(long.join().expect("an answer").is_complete);
}

#[test]
fn prompts_are_served_after_the_choosing_node_has_stopped() {
    let mut fixture = ChoiceFixture::start(GATEWAYS);
    // One of the gateways is the one that chooses. All but the first are stopped,
    // one after the other.
    for last in (0..GATEWAYS).rev() {
        for number in 0..4 {
            let id = format!("r{last}-{number}");
            let answer = prompt(&id, "aa:1000,bb:50").fetch(fixture.gateways[0].caller_address);
            assert!(answer.is_complete, "{id}: {}", answer.status);
        }
        if last > 0 {
            drop(fixture.gateways.remove(last));
        }
    }
}

#[test]
fn prompt_waits_until_another_request_has_read_its_prefix() {
    let fixture = ChoiceFixture::start(1);
    let front = fixture.gateways[0].caller_address;
    let long = thread::spawn(move || prompt("long", "aa:12000,bb:50").fetch(front));
    support::wait_for("the long prompt", || fixture.engine_of("long").is_some());
    assert!(prompt("r1", "aa:12000,cc:50").fetch(front).is_complete);
    assert_eq!(fixture.engine_of("r1"), fixture.engine_of("long"));
    let delay = fixture.arrival("r1") - fixture.arrival("long");
    assert!(delay >= LONG_READ, "{delay:?}");
    assert!(long.join().expect("an answer").is_complete);
    // The engine has the prefix in its cache now.
    assert!(prompt("r2", "aa:12000,dd:50").fetch(front).is_complete);
    assert_eq!(fixture.engine_of("r2"), fixture.engine_of("long"));
}
