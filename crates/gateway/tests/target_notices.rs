//! What a gateway does about a target that says in an answer that it leaves, or
//! for how long it wants no requests.

mod support;

use serde_json::json;
use support::{CallerRequest, GatewayProcess, any_port, default_store, register, wait_for};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, RunLog, StoreFault, StoreServer,
};

const LEAVING: &str = "Server-Leaving: 1\r\n";

/// An answer with one more header line.
fn with_line(reply: RawReply, line: &str) -> RawReply {
    use verbenahub_platform_standin::ReplyPart;
    let parts = reply.parts.into_iter().enumerate();
    let parts = parts.map(|(place, part)| match part {
        ReplyPart::Send(bytes) if place == 0 => {
            let end = bytes.windows(2).position(|pair| pair == b"\r\n");
            let (first, rest) = bytes.split_at(end.expect("a first line") + 2);
            ReplyPart::Send([first, line.as_bytes(), rest].concat())
        }
        part => part,
    });
    RawReply {
        parts: parts.collect(),
    }
}

fn turned_away(retry_after: &str) -> RawReply {
    let line = format!("Retry-After: {retry_after}\r\n");
    with_line(PlainTarget::refusal(), &line)
}

/// Targets of which the first follows a script and the others answer.
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

    fn runs_of_first(&self) -> usize {
        let runs = self.log.runs();
        runs.iter().filter(|run| run.target == "t0").count()
    }
}

fn leaves(call: &RawCall) -> RawReply {
    with_line(PlainTarget::signed(call, "200 OK", b"done"), LEAVING)
}

/// Asks until the first target has run a request.
fn ask_first(fixture: &NoticeFixture, gateway: &GatewayProcess, path: &str) {
    for number in 0..200 {
        if fixture.runs_of_first() > 0 {
            return;
        }
        let id = format!("first-{number}");
        CallerRequest::new("POST", path, &id).fetch(gateway.caller_address);
    }
    panic!("the first target gets no request");
}

#[test]
fn target_that_says_it_leaves_gets_no_more_requests_though_the_store_calls_it_ready() {
    let fixture = NoticeFixture::start("desk", 2, leaves);
    let gateway = fixture.gateway("n1", 2);
    ask_first(&fixture, &gateway, "/book/a");
    gateway.wait_log_line(|line| line["msg"] == "targets: Leaves.");
    fixture.store.set_fault(StoreFault::Busy);
    for number in 0..40 {
        let id = format!("later-{number}");
        let answer = CallerRequest::new("POST", "/book/a", &id).fetch(gateway.caller_address);
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fixture.runs_of_first(), 1);
}

#[test]
fn stream_that_says_its_engine_leaves_ends_well_and_is_the_last_one_there() {
    let fixture = NoticeFixture::start("pool", 2, |call: &RawCall| {
        let stream = EngineTarget::stream(call, 3, std::time::Duration::from_millis(50));
        with_line(stream, LEAVING).last_chunk()
    });
    let gateway = fixture.gateway("n1", 2);
    ask_first(&fixture, &gateway, "/tell/a");
    for number in 0..30 {
        let id = format!("later-{number}");
        let answer = CallerRequest::new("POST", "/tell/a", &id).fetch(gateway.caller_address);
        assert!(answer.is_complete);
    }
    assert_eq!(fixture.runs_of_first(), 1);
    let first = fixture.log.runs();
    let first = first.iter().find(|run| run.target == "t0");
    assert!(first.is_some());
}

#[test]
fn gateway_that_starts_learns_from_others_which_targets_leave() {
    let fixture = NoticeFixture::start("desk", 2, leaves);
    let gateway = fixture.gateway("n1", 2);
    ask_first(&fixture, &gateway, "/book/a");
    gateway.wait_log_line(|line| line["msg"] == "targets: Leaves.");
    let other = GatewayProcess::start("n2", fixture.store.address(), &[gateway.peer_address]);
    other.wait_ready();
    other.wait_log_line(|line| line["msg"] == "targets: Leaves." && line["source"] == "peer");
    for number in 0..40 {
        let id = format!("other-{number}");
        let answer = CallerRequest::new("POST", "/book/a", &id).fetch(other.caller_address);
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fixture.runs_of_first(), 1);
}

#[test]
fn later_run_under_the_same_identifier_takes_requests() {
    let fixture = NoticeFixture::start("desk", 1, leaves);
    let gateway = fixture.gateway("n1", 1);
    ask_first(&fixture, &gateway, "/book/a");
    gateway.wait_log_line(|line| line["msg"] == "targets: Leaves.");
    let refused = CallerRequest::new("POST", "/book/a", "between").fetch(gateway.caller_address);
    assert_eq!(refused.status, 503);
    let again = PlainTarget::start(any_port(), "t0", &fixture.log, |call: &RawCall| {
        PlainTarget::signed(call, "200 OK", b"again")
    });
    let again = again.expect("a target");
    let record = json!({
        "Service": "desk", "Address": again.server().address().to_string(), "Zone": "z1",
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
fn target_that_turns_a_request_away_is_left_alone_for_the_time_it_says() {
    for (path, service) in [
        ("/book/a", "desk"),
        ("/look/a", "desk"),
        ("/tell/a", "pool"),
    ] {
        let fixture = NoticeFixture::start(service, 2, |_: &RawCall| turned_away("30"));
        let gateway = fixture.gateway("n1", 2);
        ask_first(&fixture, &gateway, path);
        for number in 0..60 {
            let id = format!("later-{number}");
            let answer = CallerRequest::new("POST", path, &id).fetch(gateway.caller_address);
            assert_eq!(answer.status, 200, "{path}");
        }
        assert_eq!(fixture.runs_of_first(), 1, "{path}");
    }
}

#[test]
fn callers_are_told_when_the_first_of_all_targets_takes_requests_again() {
    let fixture = NoticeFixture::start("desk", 1, |_: &RawCall| turned_away("2.5"));
    let gateway = fixture.gateway("n1", 1);
    ask_first(&fixture, &gateway, "/book/a");
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
    assert_eq!(fixture.runs_of_first(), 1);
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
