//! Targets that announce in an answer that they are leaving, or refuse a request
//! with a time before which they accept no others.

mod support;

use serde_json::json;
use support::{CallerRequest, GatewayProcess, any_port, default_store, register, wait_for};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, RunLog, StoreFault, StoreServer,
};

const LEAVING_HEADER: &str = "Server-Leaving";

fn refusal_with_retry_after(retry_after: &str) -> RawReply {
    PlainTarget::refusal().with_header("Retry-After", retry_after)
}

/// Targets of one service. The first, `t0`, answers by a given function, the others
/// with success.
struct NoticeFixture {
    store: StoreServer,
    log: RunLog,
    _targets: Vec<PlainTarget>,
}

impl NoticeFixture {
    fn start<F>(service: &str, targets: usize, first: F) -> Self
    where
        F: Fn(&RawCall) -> RawReply + Clone + Send + Sync + 'static,
    {
        let store = default_store();
        let log = RunLog::default();
        let service_name = service.to_owned();
        let targets = (0..targets).map(|number| {
            let id = format!("t{number}");
            let (first, service) = (first.clone(), service_name.clone());
            let target = PlainTarget::start(any_port(), &id, &log, move |call: &RawCall| {
                if number == 0 {
                    return first(call);
                }
                if service == "pool" {
                    return EngineTarget::stream(call, 2, std::time::Duration::ZERO).last_chunk();
                }
                PlainTarget::signed(call, "200 OK", b"done")
            });
            let target = target.expect("a target");
            register(&store, &id, &service_name, target.server().address());
            target
        });
        let targets = targets.collect();
        Self {
            store,
            log,
            _targets: targets,
        }
    }

    fn gateway(&self, name: &str, targets: usize) -> GatewayProcess {
        let gateway = GatewayProcess::start_ready(name, self.store.address());
        gateway.wait_log_line(|line| line["targets"] == targets);
        gateway
    }

    fn first_target_runs(&self) -> usize {
        let runs = self.log.runs();
        runs.iter().filter(|run| run.target == "t0").count()
    }
}

fn leaving_answer(call: &RawCall) -> RawReply {
    PlainTarget::signed(call, "200 OK", b"done").with_header(LEAVING_HEADER, "1")
}

/// Sends requests until the first target has run one.
fn send_until_first_runs(fixture: &NoticeFixture, gateway: &GatewayProcess, path: &str) {
    for number in 0..200 {
        if fixture.first_target_runs() > 0 {
            return;
        }
        let id = format!("first-{number}");
        CallerRequest::new("POST", path, &id).fetch(gateway.caller_address);
    }
    panic!("the first target got no request");
}

#[test]
fn target_that_says_it_leaves_gets_no_more_requests_though_the_store_calls_it_ready() {
    let fixture = NoticeFixture::start("desk", 2, leaving_answer);
    let gateway = fixture.gateway("n1", 2);
    send_until_first_runs(&fixture, &gateway, "/book/a");
    gateway.wait_log_line(|line| line["msg"] == "targets: Leaves.");
    fixture.store.set_fault(StoreFault::Busy);
    for number in 0..40 {
        let id = format!("later-{number}");
        let answer = CallerRequest::new("POST", "/book/a", &id).fetch(gateway.caller_address);
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fixture.first_target_runs(), 1);
}

#[test]
fn stream_that_says_its_engine_leaves_completes_and_is_the_last_one_there() {
    let fixture = NoticeFixture::start("pool", 2, |call: &RawCall| {
        let stream = EngineTarget::stream(call, 3, std::time::Duration::from_millis(50));
        stream.with_header(LEAVING_HEADER, "1").last_chunk()
    });
    let gateway = fixture.gateway("n1", 2);
    send_until_first_runs(&fixture, &gateway, "/tell/a");
    for number in 0..30 {
        let id = format!("later-{number}");
        let answer = CallerRequest::new("POST", "/tell/a", &id).fetch(gateway.caller_address);
        assert!(answer.is_complete);
    }
    assert_eq!(fixture.first_target_runs(), 1);
    let first = fixture.log.runs();
    let first = first.iter().find(|run| run.target == "t0");
    assert!(first.is_some());
}

#[test]
fn gateway_that_starts_learns_from_others_which_targets_leave() {
    let fixture = NoticeFixture::start("desk", 2, leaving_answer);
    let gateway = fixture.gateway("n1", 2);
    send_until_first_runs(&fixture, &gateway, "/book/a");
    gateway.wait_log_line(|line| line["msg"] == "targets: Leaves.");
    let other = GatewayProcess::start("n2", fixture.store.address(), &[gateway.peer_address]);
    other.wait_ready();
    other.wait_log_line(|line| line["msg"] == "targets: Leaves." && line["source"] == "peer");
    for number in 0..40 {
        let id = format!("other-{number}");
        let answer = CallerRequest::new("POST", "/book/a", &id).fetch(other.caller_address);
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fixture.first_target_runs(), 1);
}

#[test]
fn later_run_under_the_same_identifier_takes_requests() {
    let fixture = NoticeFixture::start("desk", 1, leaving_answer);
    let gateway = fixture.gateway("n1", 1);
    send_until_first_runs(&fixture, &gateway, "/book/a");
    gateway.wait_log_line(|line| line["msg"] == "targets: Leaves.");
    let refused = CallerRequest::new("POST", "/book/a", "between").fetch(gateway.caller_address);
    assert_eq!(refused.status, 503);
    let later_run = PlainTarget::start(any_port(), "t0", &fixture.log, |call: &RawCall| {
        PlainTarget::signed(call, "200 OK", b"again")
    });
    let later_run = later_run.expect("a target");
    let record = json!({
        "Service": "desk", "Address": later_run.server().address().to_string(), "Zone": "z1",
        "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Sequence": 1, "born": 2
    });
    fixture.store.put("servers/t0", &record);
    wait_for("the later run", || {
        let id = format!("again-{}", fixture.log.runs().len());
        let answer = CallerRequest::new("POST", "/book/a", &id).fetch(gateway.caller_address);
        answer.status == 200
    });
}

#[test]
fn target_that_refuses_with_retry_after_gets_no_requests_before_then() {
    for (path, service) in [
        ("/book/a", "desk"),
        ("/look/a", "desk"),
        ("/tell/a", "pool"),
    ] {
        let fixture =
            NoticeFixture::start(service, 2, |_: &RawCall| refusal_with_retry_after("30"));
        let gateway = fixture.gateway("n1", 2);
        send_until_first_runs(&fixture, &gateway, path);
        for number in 0..60 {
            let id = format!("later-{number}");
            let answer = CallerRequest::new("POST", path, &id).fetch(gateway.caller_address);
            assert_eq!(answer.status, 200, "{path}");
        }
        assert_eq!(fixture.first_target_runs(), 1, "{path}");
    }
}

#[test]
fn callers_are_told_when_the_first_target_accepts_requests_again() {
    let fixture = NoticeFixture::start("desk", 1, |_: &RawCall| refusal_with_retry_after("2.5"));
    let gateway = fixture.gateway("n1", 1);
    send_until_first_runs(&fixture, &gateway, "/book/a");
    let mut times = Vec::new();
    for number in 0..10 {
        let id = format!("later-{number}");
        let answer = CallerRequest::new("POST", "/book/a", &id).fetch(gateway.caller_address);
        assert_eq!(answer.status, 503);
        let wait: f64 = answer
            .header("Retry-After")
            .expect("a time")
            .parse()
            .expect("seconds");
        times.push(wait);
    }
    assert_eq!(fixture.first_target_runs(), 1);
    assert!(
        times.iter().all(|wait| *wait > 0.15 && *wait <= 3.0),
        "{times:?}"
    );
    let same = times
        .windows(2)
        .filter(|pair| (pair[0] - pair[1]).abs() < 0.001);
    assert!(
        same.count() < 5,
        "callers come back at the same instant: {times:?}"
    );
}

/// Times to come back are bounded, and not so that many callers get the bound.
#[test]
fn callers_of_closed_targets_are_not_all_told_the_longest_time() {
    for retry_after in ["2.5", "30"] {
        let fixture = NoticeFixture::start("desk", 1, move |_: &RawCall| {
            refusal_with_retry_after(retry_after)
        });
        let gateway = fixture.gateway("n1", 1);
        send_until_first_runs(&fixture, &gateway, "/book/a");
        let times = (0..40).map(|number| {
            let id = format!("later-{number}");
            let answer = CallerRequest::new("POST", "/book/a", &id).fetch(gateway.caller_address);
            answer.header("Retry-After").expect("a time").to_owned()
        });
        let longest = times.filter(|time| time == "3.000").count();
        assert!(longest < 5, "{longest} of 40 callers, {retry_after} s");
    }
}
