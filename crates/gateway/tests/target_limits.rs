//! Targets that name a limit on the requests a second that they take from all
//! gateways together.

mod support;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::json;
use support::{
    CallerRequest, GatewayProcess, RawResponse, any_port, config, default_routes, default_store,
    register, route, start_targets, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, ReplyStep, RunLog, StageTarget, StoreServer,
};

const LIMIT_HEADER: &str = "Server-Limit";
/// Period in which the requests at a target are counted at least.
const WINDOW_SECONDS: f64 = 4.0;
/// Requests of each test, sent by turns to all gateways.
const REQUESTS: usize = 90;
const GATEWAYS: usize = 3;

/// Limit that a target names, changed by the test while the target runs.
#[derive(Clone, Debug, Default)]
struct NamedLimit(Arc<Mutex<Option<&'static str>>>);

impl NamedLimit {
    fn set(&self, limit: Option<&'static str>) {
        *self.0.lock().expect("the lock is not poisoned") = limit;
    }

    fn apply(&self, reply: RawReply) -> RawReply {
        match *self.0.lock().expect("the lock is not poisoned") {
            Some(limit) => reply.with_header(LIMIT_HEADER, limit),
            None => reply,
        }
    }
}

/// Gateways before targets of one service, of which the first ones name a limit.
struct LimitFixture {
    gateways: Vec<GatewayProcess>,
    log: RunLog,
    limit: NamedLimit,
    targets: Vec<PlainTarget>,
    store: StoreServer,
}

impl LimitFixture {
    /// Starts `limited` targets that share a limit, and `others` that have none.
    /// All reply as `script` says.
    fn start<Script>(service: &str, limited: usize, others: usize, script: Script) -> Self
    where
        Script: Fn(&str, &RawCall) -> RawReply + Clone + Send + Sync + 'static,
    {
        let store = default_store();
        let (log, limit) = (RunLog::default(), NamedLimit::default());
        let (own, limited_script) = (limit.clone(), script.clone());
        let mut targets = start_targets(&store, &log, service, "limited", limited, move |call| {
            own.apply(limited_script("limited", call))
        });
        targets.extend(start_targets(
            &store,
            &log,
            service,
            "free",
            others,
            move |call| script("free", call),
        ));
        let gateways = GatewayProcess::start_fleet(GATEWAYS, store.address());
        for gateway in &gateways {
            gateway.wait_log_line(|line| line["targets"] == limited + others);
        }
        Self {
            gateways,
            log,
            limit,
            targets,
            store,
        }
    }

    /// Names a limit and sends requests until each gateway knows it.
    fn name_limit(&self, limit: &'static str, method: &'static str, path: &str) {
        self.limit.set(Some(limit));
        for (index, gateway) in self.gateways.iter().enumerate() {
            let mut number = 0;
            while gateway.metric("limited_targets") == Some(0.0) {
                assert!(number < 500, "the limit stays unknown");
                let id = format!("first-{index}-{number}");
                CallerRequest::new(method, path, &id).fetch(gateway.caller_address);
                number += 1;
            }
        }
    }

    fn limited_runs(&self) -> usize {
        let runs = self.log.runs();
        let limited = runs.iter().filter(|run| run.target.starts_with("limited"));
        limited.count()
    }

    /// Sends requests to all gateways by turns. Returns the responses, and panics if
    /// the limited targets, `targets` with a limit of `rate` each, got more than that
    /// allows.
    fn send_all(
        &self,
        method: &'static str,
        path: &str,
        targets: f64,
        rate: f64,
    ) -> Vec<RawResponse> {
        let (before, begun) = (self.limited_runs(), Instant::now());
        let responses = (0..REQUESTS).map(|number| {
            let gateway = &self.gateways[number % self.gateways.len()];
            let id = format!("request-{number}");
            CallerRequest::new(method, path, &id).fetch(gateway.caller_address)
        });
        let responses = responses.collect();
        let runs = self.limited_runs() - before;
        assert_within_limit(runs, targets, rate, begun.elapsed());
        responses
    }
}

/// Panics if targets with a limit of `rate` each got more than the platform's
/// rules allow: one and a half times the limit, and five requests.
fn assert_within_limit(requests: usize, targets: f64, rate: f64, elapsed: Duration) {
    let seconds = elapsed.as_secs_f64().max(WINDOW_SECONDS);
    let allowed = targets * (1.5 * rate * seconds + 5.0);
    #[allow(clippy::cast_precision_loss)] // Some hundred requests.
    let requests = requests as f64;
    assert!(
        requests <= allowed,
        "{requests} requests, {allowed} allowed"
    );
}

fn signed(_: &str, call: &RawCall) -> RawReply {
    PlainTarget::signed(call, "200 OK", b"done")
}

fn stream(_: &str, call: &RawCall) -> RawReply {
    EngineTarget::stream(call, 2, Duration::ZERO).last_chunk()
}

#[test]
fn target_of_plain_requests_gets_no_more_than_its_limit_from_all_gateways() {
    for (method, path) in [("POST", "/book/a"), ("GET", "/look/a")] {
        let fixture = LimitFixture::start("desk", 1, 2, signed);
        fixture.name_limit("0.5", method, path);
        let responses = fixture.send_all(method, path, 1.0, 0.5);
        let served = responses.iter().filter(|response| response.status == 200);
        assert_eq!(served.count(), REQUESTS, "{path}");
    }
}

#[test]
fn engine_gets_no_more_than_its_limit_from_all_gateways() {
    let fixture = LimitFixture::start("pool", 1, 2, stream);
    fixture.name_limit("0.5", "POST", "/tell/a");
    let responses = fixture.send_all("POST", "/tell/a", 1.0, 0.5);
    assert!(responses.iter().all(|response| response.is_complete));
}

#[test]
fn retries_at_a_limited_target_stay_within_its_limit() {
    let fixture = LimitFixture::start("desk", 1, 1, |target, call| {
        let status = if target == "free" {
            "500 Internal Server Error"
        } else {
            "200 OK"
        };
        PlainTarget::signed(call, status, b"done")
    });
    fixture.name_limit("0.5", "GET", "/look/a");
    let responses = fixture.send_all("GET", "/look/a", 1.0, 0.5);
    // A request that may not be repeated elsewhere gets the target's own failure.
    assert!(
        responses
            .iter()
            .all(|response| matches!(response.status, 200 | 500))
    );
}

#[test]
fn resumed_streams_stay_within_the_limit_of_an_engine() {
    let fixture = LimitFixture::start("pool", 1, 1, |target, call| {
        let begun = EngineTarget::stream(call, 2, Duration::ZERO);
        if target == "free" {
            begun.then(ReplyStep::Close)
        } else {
            begun.last_chunk()
        }
    });
    fixture.name_limit("0.5", "POST", "/resume/a");
    fixture.send_all("POST", "/resume/a", 1.0, 0.5);
}

#[test]
fn callers_beyond_the_limits_of_all_targets_are_told_at_once_when_to_come_back() {
    for (service, path) in [("desk", "/book/a"), ("pool", "/tell/a")] {
        let fixture = if service == "desk" {
            LimitFixture::start(service, 2, 0, signed)
        } else {
            LimitFixture::start(service, 2, 0, stream)
        };
        fixture.name_limit("0.5", "POST", path);
        let responses = fixture.send_all("POST", path, 2.0, 0.5);
        for response in &responses {
            assert!(
                matches!(response.status, 200 | 503),
                "{path}: {}",
                response.status
            );
            if response.status == 503 {
                let wait = response.header("Retry-After").expect("a time to come back");
                let wait: f64 = wait.parse().expect("a number of seconds");
                assert!(wait > 0.0, "{path}: {wait}");
            }
        }
        let refused = responses.iter().filter(|response| response.status == 503);
        let runs: usize = (0..REQUESTS)
            .map(|number| fixture.log.runs_of(&format!("request-{number}")).len())
            .sum();
        assert_eq!(
            refused.count() + runs,
            REQUESTS,
            "{path}: a refused request has run"
        );
    }
}

#[test]
fn target_that_withdraws_its_limit_gets_its_share_again() {
    let fixture = LimitFixture::start("desk", 1, 1, signed);
    fixture.name_limit("2", "POST", "/book/a");
    fixture.limit.set(None);
    wait_for("the end of the limit", || {
        for gateway in &fixture.gateways {
            let id = format!("later-{}", fixture.log.runs().len());
            CallerRequest::new("POST", "/book/a", &id).fetch(gateway.caller_address);
        }
        let mut gateways = fixture.gateways.iter();
        gateways.all(|gateway| gateway.metric("limited_targets") == Some(0.0))
    });
    let before = fixture.limited_runs();
    for number in 0..REQUESTS {
        let gateway = &fixture.gateways[number % GATEWAYS];
        let id = format!("after-{number}");
        CallerRequest::new("POST", "/book/a", &id).fetch(gateway.caller_address);
    }
    assert!(fixture.limited_runs() - before > REQUESTS / 6);
}

#[test]
fn stage_target_gets_no_more_calls_and_frees_than_its_limit() {
    let store = StoreServer::start(any_port()).expect("the store starts");
    let mut routes = default_routes();
    let mut staged = route("staged", "/staged/", "streaming", "pool", 1);
    staged["Stages"] = json!([{ "Service": "stage-a", "After": [], "Bytes": 1000 }]);
    routes.push(staged);
    store.put("op/config", &config(3, &routes));
    let log = RunLog::default();
    let _engines = start_targets(&store, &log, "pool", "e", 2, |call| {
        EngineTarget::stream(call, 2, Duration::ZERO).last_chunk()
    });
    let stage_targets: Vec<StageTarget> = (0..2)
        .map(|index| {
            let id = format!("s{index}");
            let stage = StageTarget::start(any_port(), &id, Duration::from_millis(20));
            let stage = stage.expect("the stage starts");
            register(&store, &id, "stage-a", stage.server().address());
            stage
        })
        .collect();
    let gateways = GatewayProcess::start_fleet(GATEWAYS, store.address());
    for gateway in &gateways {
        gateway.wait_log_line(|line| line["targets"] == 4);
    }
    let send = |id: &str, index: usize| {
        CallerRequest::new("POST", "/staged/a", id)
            .with_header("Pieces", "2")
            .with_header("Piece-Key", "7c1e07a291bd")
            .fetch(gateways[index % GATEWAYS].caller_address)
    };
    let limited = &stage_targets[0];
    limited.set_limit(Some("0.5"));
    let before_naming = limited.request_count();
    for number in 0..200 {
        if limited.request_count() > before_naming {
            break;
        }
        send(&format!("first-{number}"), number);
    }
    wait_for("the limit", || {
        let mut gateways = gateways.iter();
        gateways.any(|gateway| gateway.metric("limited_targets") != Some(0.0))
    });
    let (before, begun) = (limited.request_count(), Instant::now());
    for number in 0..REQUESTS {
        let response = send(&format!("request-{number}"), number);
        assert!(response.is_complete && response.status == 200);
    }
    let requests = limited.request_count() - before;
    assert_within_limit(requests, 1.0, 0.5, begun.elapsed());
}

#[test]
fn limits_that_are_no_numbers_change_nothing() {
    let fixture = LimitFixture::start("desk", 1, 0, signed);
    let gateway = &fixture.gateways[0];
    for (index, limit) in ["soon", "-1", "NaN", "inf", "1e3", "", "1.2.3"]
        .into_iter()
        .enumerate()
    {
        fixture.limit.set(Some(limit));
        for number in 0..10 {
            let id = format!("request-{index}-{number}");
            let response = CallerRequest::new("POST", "/book/a", &id).fetch(gateway.caller_address);
            assert_eq!(response.status, 200, "{limit:?}");
        }
        let error = format!("not a number of requests a second: {limit:?}");
        gateway.wait_log_line(|line| line["error"] == error.as_str());
        assert_eq!(gateway.metric("limited_targets"), Some(0.0), "{limit:?}");
    }
}

#[test]
fn later_run_under_the_same_identifier_has_no_limit() {
    let mut fixture = LimitFixture::start("desk", 1, 1, signed);
    fixture.name_limit("0.1", "POST", "/book/a");
    drop(fixture.targets.remove(0));
    let later = PlainTarget::start(any_port(), "limited0", &fixture.log, |call: &RawCall| {
        PlainTarget::signed(call, "200 OK", b"again")
    });
    let later = later.expect("the target starts");
    let record = json!({
        "Service": "desk", "Address": later.server().address().to_string(), "Zone": "z1",
        "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Sequence": 1, "born": 2
    });
    fixture.store.put("servers/limited0", &record);
    let before = fixture.limited_runs();
    wait_for("requests at the later run", || {
        for gateway in &fixture.gateways {
            let id = format!("later-{}", fixture.log.runs().len());
            CallerRequest::new("POST", "/book/a", &id).fetch(gateway.caller_address);
        }
        fixture.limited_runs() > before + 20
    });
}
