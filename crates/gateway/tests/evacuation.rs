//! Zones that the operator evacuates while gateways send their targets work.

mod support;

use std::{
    thread::{self, JoinHandle},
    time::Duration,
};

use serde_json::json;
use support::{
    CallerRequest, GatewayProcess, RawResponse, any_port, config, default_routes, route,
    target_record, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, ReplyStep, RunLog, StageTarget, StoreServer,
};

/// Key by which the operator evacuates the zone of the targets `z1-...`.
const KEY: &str = "op/evacuate/z1";
/// Requests of each kind that a test sends.
const REQUESTS: usize = 20;
/// Time that an engine takes to begin its response to the request `long`.
const LONG_READ: Duration = Duration::from_millis(1_200);

/// Three gateways before a target of each service in each of two zones.
struct EvacuationFixture {
    gateways: Vec<GatewayProcess>,
    store: StoreServer,
    log: RunLog,
    stages: Vec<StageTarget>,
    _targets: Vec<PlainTarget>,
}

impl EvacuationFixture {
    fn start() -> Self {
        let store = StoreServer::start(any_port()).expect("the store starts");
        let mut routes = default_routes();
        let mut staged = route("staged", "/staged/", "streaming", "pool", 1);
        staged["Stages"] = json!([{ "Service": "stage-a", "After": [], "Bytes": 1000 }]);
        routes.push(staged);
        store.put("op/config", &config(3, &routes));
        let log = RunLog::default();
        let (mut stage_targets, mut targets) = (Vec::new(), Vec::new());
        for zone in ["z1", "z2"] {
            let register = |id: &str, service: &str, address| {
                let mut record = target_record(service, address);
                record["Zone"] = json!(zone);
                store.put(&format!("servers/{id}"), &record);
            };
            for service in ["desk", "pool"] {
                let id = format!("{zone}-{service}");
                let target = PlainTarget::start(any_port(), &id, &log, reply);
                let target = target.expect("the target starts");
                register(&id, service, target.server().address());
                targets.push(target);
            }
            let id = format!("{zone}-stage");
            let stage = StageTarget::start(any_port(), &id, Duration::from_millis(20));
            let stage = stage.expect("the target starts");
            register(&id, "stage-a", stage.server().address());
            stage_targets.push(stage);
        }
        let gateways = GatewayProcess::start_fleet(3, store.address());
        for gateway in &gateways {
            gateway.wait_log_line(|line| line["targets"] == 6);
        }
        Self {
            gateways,
            store,
            log,
            stages: stage_targets,
            _targets: targets,
        }
    }

    /// Starts or ends the evacuation and waits until each gateway knows.
    fn set_evacuated(&self, is_evacuated: bool) {
        if is_evacuated {
            self.store.put(KEY, &json!({}));
        } else {
            self.store.remove(KEY);
        }
        let count = f64::from(u8::from(is_evacuated));
        for gateway in &self.gateways {
            wait_for("the evacuation to be known", || {
                gateway.metric("evacuated_zones") == Some(count)
            });
        }
    }

    /// Sends requests of each kind to all gateways by turns.
    fn send_all(&self, label: &str) -> Vec<RawResponse> {
        let mut responses = Vec::new();
        for number in 0..REQUESTS {
            let gateway = &self.gateways[number % self.gateways.len()];
            for (method, path) in [
                ("POST", "/book/a"),
                ("GET", "/look/a"),
                ("POST", "/tell/a"),
                ("POST", "/resume/a"),
                ("POST", "/staged/a"),
            ] {
                let id = format!("{label}-{number}-{}", responses.len());
                let mut request = CallerRequest::new(method, path, &id);
                if path == "/staged/a" {
                    request = request.with_header("Pieces", "2");
                    request = request.with_header("Piece-Key", "5c1e07a2");
                }
                responses.push(request.fetch(gateway.caller_address));
            }
        }
        responses
    }

    /// Requests, stage calls and calls that free results that reached the zone.
    fn calls_in_zone(&self) -> usize {
        let runs = self.log.runs();
        let runs = runs.iter().filter(|run| run.target.starts_with("z1"));
        runs.count() + self.stages[0].request_count()
    }

    fn send_long(&self) -> JoinHandle<RawResponse> {
        let front = self.gateways[0].caller_address;
        let request = CallerRequest::new("POST", "/tell/a", "long");
        thread::spawn(move || request.fetch(front))
    }
}

fn reply(call: &RawCall) -> verbenahub_platform_standin::RawReply {
    if call.target.starts_with("/book") || call.target.starts_with("/look") {
        return PlainTarget::signed(call, "200 OK", b"done");
    }
    let mut reply = EngineTarget::stream(call, 2, Duration::ZERO).last_chunk();
    if call.header("Attempt-Id") == Some("long") {
        reply.steps.insert(0, ReplyStep::Wait(LONG_READ));
    }
    reply
}

/// Guards against calls of any kind to targets of an evacuated zone, and against a zone
/// that stays unused after its evacuation.
#[test]
fn evacuated_zone_gets_no_call_of_any_kind_until_it_is_open_again() {
    let fixture = EvacuationFixture::start();
    fixture.set_evacuated(true);
    // Results that were produced before the evacuation are no longer freed there.
    let before = fixture.calls_in_zone();
    let responses = fixture.send_all("evacuated");
    assert!(responses.iter().all(|response| response.status == 200));
    assert_eq!(fixture.calls_in_zone(), before);
    fixture.set_evacuated(false);
    let responses = fixture.send_all("open");
    assert!(responses.iter().all(|response| response.status == 200));
    assert!(fixture.calls_in_zone() > before);
}

/// Guards against a stream that is cut because its engine's zone is evacuated, and
/// against evacuated services whose requests wait or lose the work of their stages
/// instead of being rejected at once.
#[test]
fn running_stream_ends_and_requests_without_any_open_zone_are_rejected_at_once() {
    let fixture = EvacuationFixture::start();
    let long = fixture.send_long();
    wait_for("the stream", || !fixture.log.runs_of("long").is_empty());
    for zone in ["z1", "z2"] {
        fixture
            .store
            .put(&format!("op/evacuate/{zone}"), &json!({}));
    }
    for gateway in &fixture.gateways {
        wait_for("the evacuations to be known", || {
            gateway.metric("evacuated_zones") == Some(2.0)
        });
    }
    let before: usize = fixture.stages.iter().map(StageTarget::request_count).sum();
    for response in fixture.send_all("none") {
        assert_eq!(response.status, 503);
        assert!(response.header("Retry-After").is_some());
    }
    let after: usize = fixture.stages.iter().map(StageTarget::request_count).sum();
    assert_eq!(before, after);
    assert!(long.join().expect("an answer").is_complete);
}
