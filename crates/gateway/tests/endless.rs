//! Bytes that are no answer and have no end, and streams that make no progress.

mod support;

use std::{thread, time::Duration};

use serde_json::json;
use support::{
    CallerRequest, GatewayProcess, any_port, config, default_routes, default_store, register,
    route, start_targets, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, ReplyPart, RunLog, StageTarget, StoreServer,
};

const STEADY: Duration = Duration::ZERO;
const DRIP: Duration = Duration::from_millis(100);
const ANSWER: &str = "HTTP/1.1 200 OK\r\nResponse-Signature: 3e1b.07\r\nAttempt-Id: ";

struct EndlessFixture {
    gateway: GatewayProcess,
    log: RunLog,
    targets: Vec<PlainTarget>,
    _store: StoreServer,
}

impl EndlessFixture {
    fn start<F>(service: &str, targets: usize, script: F) -> Self
    where
        F: Fn(&RawCall, usize) -> RawReply + Clone + Send + Sync + 'static,
    {
        let store = default_store();
        let log = RunLog::default();
        let seen = log.clone();
        let script = move |call: &RawCall| script(call, seen.runs().len());
        let targets = start_targets(&store, &log, service, "t", targets, script);
        let gateway = GatewayProcess::start_ready("n1", store.address());
        let known = targets.len();
        gateway.wait_log_line(|line| line["targets"] == known);
        Self {
            gateway,
            log,
            targets,
            _store: store,
        }
    }

    fn broken(&self) -> usize {
        let servers = self.targets.iter().map(PlainTarget::server);
        servers
            .map(verbenahub_platform_standin::RawServer::broken)
            .sum()
    }
}

fn begun(call: &RawCall, rest: &str) -> RawReply {
    let id = call.header("Attempt-Id").unwrap_or_default();
    RawReply::send(format!("{ANSWER}{id}\r\n{rest}"))
}

/// A way to send no answer for ever, with its name.
type EndlessCase = (&'static str, fn(&RawCall) -> RawReply);

/// All of them.
fn endless_answers() -> Vec<EndlessCase> {
    vec![
        ("head", |_| {
            RawReply::send("HTTP/1.1 200 OK\r\nX: ")
                .then(ReplyPart::Endless(vec![b'x'; 4_096], STEADY))
        }),
        ("headers", |call| {
            begun(call, "").then(ReplyPart::Endless(b"X-More: y\r\n".repeat(50), STEADY))
        }),
        ("dripping head", |_| {
            RawReply::send("HTTP/1.1 200").then(ReplyPart::Endless(b"0".to_vec(), DRIP))
        }),
        ("interim responses", |_| RawReply {
            parts: vec![ReplyPart::Endless(
                b"HTTP/1.1 102 Processing\r\n\r\n".repeat(20),
                STEADY,
            )],
        }),
        ("length", |call| {
            begun(call, "Content-Length: 99999999999\r\n\r\n")
                .then(ReplyPart::Endless(vec![0; 65_536], STEADY))
        }),
        ("chunks", |call| {
            let chunk = [b"ffff\r\n".as_slice(), &vec![b'x'; 0xffff], b"\r\n"].concat();
            begun(call, "Transfer-Encoding: chunked\r\n\r\n")
                .then(ReplyPart::Endless(chunk, STEADY))
        }),
        ("chunk extension", |call| {
            begun(call, "Transfer-Encoding: chunked\r\n\r\n5;x=")
                .then(ReplyPart::Endless(vec![b'x'; 4_096], STEADY))
        }),
        ("trailers", |call| {
            begun(call, "Transfer-Encoding: chunked\r\n\r\n0\r\n")
                .then(ReplyPart::Endless(b"X: y\r\n".repeat(50), STEADY))
        }),
        ("until close", |call| {
            begun(call, "\r\n").then(ReplyPart::Endless(vec![0; 65_536], STEADY))
        }),
        ("dripping body", |call| {
            begun(call, "Content-Length: 1000\r\n\r\n")
                .then(ReplyPart::Endless(b"x".to_vec(), DRIP))
        }),
    ]
}

#[test]
fn bytes_without_end_bring_a_repeatable_request_to_another_target() {
    for (case, reply) in endless_answers() {
        let fixture = EndlessFixture::start("desk", 2, move |call, runs| {
            if runs > 1 {
                return PlainTarget::signed(call, "200 OK", b"whole");
            }
            reply(call)
        });
        let answer =
            CallerRequest::new("GET", "/look/a", "r1").fetch(fixture.gateway.caller_address);
        let is_drip = case == "dripping body";
        // A drip that has begun its body may still end: it has its whole time.
        let expected = if is_drip { 504 } else { 200 };
        assert_eq!(answer.status, expected, "{case}");
        wait_for("the end of the connection", || fixture.broken() == 1);
    }
}

#[test]
fn bytes_without_end_are_never_an_answer_to_a_request_that_runs_once() {
    for (case, reply) in endless_answers() {
        let fixture = EndlessFixture::start("desk", 2, move |call, _| reply(call));
        let mut request = CallerRequest::new("POST", "/book/a", "r1");
        request.deadline_ms = 1_500;
        let answer = request.fetch(fixture.gateway.caller_address);
        assert!(
            matches!(answer.status, 502 | 504),
            "{case}: {}",
            answer.status
        );
        assert_eq!(fixture.log.runs_of("r1").len(), 1, "{case}");
        wait_for("the end of the connection", || fixture.broken() == 1);
    }
}

#[test]
fn refusal_whose_body_never_ends_leaves_time_for_another_target() {
    let fixture = EndlessFixture::start("desk", 2, |call, runs| {
        if runs > 1 {
            return PlainTarget::signed(call, "200 OK", b"whole");
        }
        let head = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 500\r\n\r\n";
        RawReply::send(head).then(ReplyPart::Endless(b"x".to_vec(), DRIP))
    });
    let answer = CallerRequest::new("GET", "/look/a", "r1").fetch(fixture.gateway.caller_address);
    assert_eq!(answer.status, 200);
    wait_for("the end of the connection", || fixture.broken() == 1);
}

#[test]
fn memory_for_answers_without_end_is_bounded_together() {
    let fixture = EndlessFixture::start("desk", 1, |call, _| {
        begun(call, "Content-Length: 7000000\r\n\r\n")
            .then(ReplyPart::Send(vec![0; 6_900_000]))
            .then(ReplyPart::Silence)
    });
    let front = fixture.gateway.caller_address;
    let callers: Vec<_> = (0..12)
        .map(|number| {
            let request = CallerRequest::new("POST", "/book/a", &format!("r{number}"));
            thread::spawn(move || request.fetch(front).status)
        })
        .collect();
    let statuses: Vec<u16> = callers
        .into_iter()
        .map(|caller| caller.join().expect("an answer"))
        .collect();
    // Those that found no room end at once, the others at their deadline.
    assert!(statuses.contains(&502), "{statuses:?}");
    assert!(statuses.iter().all(|status| matches!(status, 502 | 504)));
}

#[test]
fn stream_that_drips_bytes_of_no_event_goes_on_elsewhere() {
    for (case, bytes) in [("one event", b"x".as_slice()), ("lines", b"data: x\n")] {
        let fixture = EndlessFixture::start("pool", 2, move |call, runs| {
            if runs > 1 {
                return EngineTarget::stream(call, 4, STEADY).last_chunk();
            }
            let drip = [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat();
            EngineTarget::stream(call, 2, STEADY)
                .chunk(b"id: 2\ndata: ")
                .then(ReplyPart::Endless(drip, DRIP))
        });
        let answer =
            CallerRequest::new("POST", "/resume/a", "r1").fetch(fixture.gateway.caller_address);
        assert!(answer.is_complete, "{case}");
        assert_eq!(fixture.log.runs_of("r1").len(), 2, "{case}");
    }
}

#[test]
fn event_without_end_in_small_parts_ends_the_stream() {
    let fixture = EndlessFixture::start("pool", 1, |call, _| {
        let parts = b"1\r\nx\r\n".repeat(2_000);
        EngineTarget::stream(call, 1, STEADY).then(ReplyPart::Endless(parts, STEADY))
    });
    let answer = CallerRequest::new("POST", "/tell/a", "r1").fetch(fixture.gateway.caller_address);
    assert!(!answer.is_complete);
    wait_for("the end of the connection", || fixture.broken() == 1);
}

#[test]
fn slow_sound_stream_stays_with_its_engine() {
    let fixture = EndlessFixture::start("pool", 2, |call, _| {
        EngineTarget::stream(call, 4, Duration::from_millis(1_300)).last_chunk()
    });
    let mut request = CallerRequest::new("POST", "/resume/a", "r1");
    request.deadline_ms = 9_000;
    let answer = request.fetch(fixture.gateway.caller_address);
    // The route's own time ends it, not a pause.
    let runs = fixture.log.runs_of("r1");
    assert_eq!(runs.len(), 1);
    assert!(answer.text().contains("r1 2"));
}

#[test]
fn slow_stream_that_has_nowhere_to_go_is_not_broken_off() {
    let fixture = EndlessFixture::start("pool", 1, |call, _| {
        EngineTarget::stream(call, 1, STEADY)
            .then(ReplyPart::Wait(Duration::from_millis(2_600)))
            .chunk(EngineTarget::event(call, 1).as_bytes())
            .last_chunk()
    });
    let answer =
        CallerRequest::new("POST", "/resume/a", "r1").fetch(fixture.gateway.caller_address);
    assert!(answer.is_complete);
    assert_eq!(fixture.log.runs_of("r1").len(), 1);
}

#[test]
fn stage_call_whose_answer_never_ends_is_made_again_elsewhere() {
    let store = default_store();
    let mut staged = route("staged", "/staged/", "streaming", "pool", 1);
    staged["Stages"] = json!([{ "Service": "stage-a", "After": [], "Bytes": 1000 }]);
    let mut routes = default_routes();
    routes.push(staged);
    store.put("op/config", &config(5, &routes));
    let log = RunLog::default();
    let drip = PlainTarget::start(any_port(), "s0", &log, |_: &RawCall| {
        RawReply::send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n")
            .then(ReplyPart::Endless(b" ".to_vec(), DRIP))
    });
    let drip = drip.expect("a stage");
    register(&store, "s0", "stage-a", drip.server().address());
    let engine = EngineTarget::start(any_port(), "e0", &log, 2, STEADY).expect("an engine");
    register(&store, "e0", "pool", engine.server().address());
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == 2);
    let request = CallerRequest::new("POST", "/staged/a", "r1")
        .with_header("Pieces", "1")
        .with_header("Piece-Key", "ab");
    let mut caller = request.send(gateway.caller_address);
    wait_for("the call", || {
        log.runs().iter().any(|run| run.target == "s0")
    });
    let sound = StageTarget::start(any_port(), "s1", Duration::from_millis(20));
    let sound = sound.expect("a stage");
    register(&store, "s1", "stage-a", sound.server().address());
    let answer = support::RawResponse::read(&mut caller);
    assert!(answer.is_complete, "status {}", answer.status);
    assert_eq!(sound.calls(), 1);
}
