//! Endless responses of targets, and streams that make no progress. The gateway
//! must end both in bounded time and memory.

mod support;

use std::{thread, time::Duration};

use serde_json::json;
use support::{
    CallerRequest, GatewayProcess, any_port, config, default_routes, default_store, register,
    route, start_targets, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, ReplyStep, RunLog, StageTarget, StoreServer,
};

/// No pause between the parts of a reply.
const NO_PAUSE: Duration = Duration::ZERO;
/// Pause between endless bytes that are sent slowly, so that reads keep succeeding.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);
/// Start of the head of a signed response, up to the id of the request.
const SIGNED_HEAD_START: &str = "HTTP/1.1 200 OK\r\nResponse-Signature: 3e1b.07\r\nAttempt-Id: ";

struct EndlessFixture {
    gateway: GatewayProcess,
    log: RunLog,
    targets: Vec<PlainTarget>,
    _store: StoreServer,
}

impl EndlessFixture {
    /// Starts a gateway and targets of one service. The script gets each call and the
    /// number of runs so far, including this one.
    fn start<F>(service: &str, targets: usize, script: F) -> Self
    where
        F: Fn(&RawCall, usize) -> RawReply + Clone + Send + Sync + 'static,
    {
        let store = default_store();
        let log = RunLog::default();
        let script_log = log.clone();
        let script = move |call: &RawCall| script(call, script_log.runs().len());
        let targets = start_targets(&store, &log, service, "t", targets, script);
        let gateway = GatewayProcess::start_ready("n1", store.address());
        let target_count = targets.len();
        gateway.wait_log_line(|line| line["targets"] == target_count);
        Self {
            gateway,
            log,
            targets,
            _store: store,
        }
    }

    /// Number of replies of the targets during which the gateway closed the connection.
    fn interrupted_replies(&self) -> usize {
        let servers = self.targets.iter().map(PlainTarget::server);
        servers
            .map(verbenahub_platform_standin::RawServer::aborted_replies)
            .sum()
    }
}

/// Starts a signed response to a call, whose head goes on with `rest`.
fn signed_start(call: &RawCall, rest: &str) -> RawReply {
    let id = call.header("Attempt-Id").unwrap_or_default();
    RawReply::send(format!("{SIGNED_HEAD_START}{id}\r\n{rest}"))
}

/// A name and a function that creates an endless reply.
type EndlessCase = (&'static str, fn(&RawCall) -> RawReply);

/// Returns one case for each part of a response that can be endless.
fn endless_responses() -> Vec<EndlessCase> {
    vec![
        ("head", |_| {
            RawReply::send("HTTP/1.1 200 OK\r\nX: ")
                .then(ReplyStep::Endless(vec![b'x'; 4_096], NO_PAUSE))
        }),
        ("headers", |call| {
            signed_start(call, "").then(ReplyStep::Endless(b"X-More: y\r\n".repeat(50), NO_PAUSE))
        }),
        ("dripping head", |_| {
            RawReply::send("HTTP/1.1 200").then(ReplyStep::Endless(b"0".to_vec(), DRIP_INTERVAL))
        }),
        ("interim responses", |_| RawReply {
            steps: vec![ReplyStep::Endless(
                b"HTTP/1.1 102 Processing\r\n\r\n".repeat(20),
                NO_PAUSE,
            )],
        }),
        ("length", |call| {
            signed_start(call, "Content-Length: 99999999999\r\n\r\n")
                .then(ReplyStep::Endless(vec![0; 65_536], NO_PAUSE))
        }),
        ("chunks", |call| {
            let chunk = [b"ffff\r\n".as_slice(), &vec![b'x'; 0xffff], b"\r\n"].concat();
            signed_start(call, "Transfer-Encoding: chunked\r\n\r\n")
                .then(ReplyStep::Endless(chunk, NO_PAUSE))
        }),
        ("chunk extension", |call| {
            signed_start(call, "Transfer-Encoding: chunked\r\n\r\n5;x=")
                .then(ReplyStep::Endless(vec![b'x'; 4_096], NO_PAUSE))
        }),
        ("trailers", |call| {
            signed_start(call, "Transfer-Encoding: chunked\r\n\r\n0\r\n")
                .then(ReplyStep::Endless(b"X: y\r\n".repeat(50), NO_PAUSE))
        }),
        ("until close", |call| {
            signed_start(call, "\r\n").then(ReplyStep::Endless(vec![0; 65_536], NO_PAUSE))
        }),
        ("dripping body", |call| {
            signed_start(call, "Content-Length: 1000\r\n\r\n")
                .then(ReplyStep::Endless(b"x".to_vec(), DRIP_INTERVAL))
        }),
    ]
}

#[test]
fn endless_response_moves_an_idempotent_request_to_another_target() {
    for (case, reply) in endless_responses() {
        let fixture = EndlessFixture::start("desk", 2, move |call, run_count| {
            if run_count > 1 {
                return PlainTarget::signed(call, "200 OK", b"whole");
            }
            reply(call)
        });
        let response =
            CallerRequest::new("GET", "/look/a", "r1").fetch(fixture.gateway.caller_address);
        let is_slow_body = case == "dripping body";
        // A slow body of a known length could still complete, so the gateway waits for it
        // until the deadline.
        let expected = if is_slow_body { 504 } else { 200 };
        assert_eq!(response.status, expected, "{case}");
        wait_for("the connection to be closed", || {
            fixture.interrupted_replies() == 1
        });
    }
}

#[test]
fn endless_response_to_a_non_idempotent_request_is_an_error_without_a_retry() {
    for (case, reply) in endless_responses() {
        let fixture = EndlessFixture::start("desk", 2, move |call, _| reply(call));
        let mut request = CallerRequest::new("POST", "/book/a", "r1");
        request.deadline_ms = 1_500;
        let response = request.fetch(fixture.gateway.caller_address);
        assert!(
            matches!(response.status, 502 | 504),
            "{case}: {}",
            response.status
        );
        assert_eq!(fixture.log.runs_of("r1").len(), 1, "{case}");
        wait_for("the connection to be closed", || {
            fixture.interrupted_replies() == 1
        });
    }
}

#[test]
fn refusal_whose_body_never_ends_leaves_time_for_another_target() {
    let fixture = EndlessFixture::start("desk", 2, |call, run_count| {
        if run_count > 1 {
            return PlainTarget::signed(call, "200 OK", b"whole");
        }
        let head = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 500\r\n\r\n";
        RawReply::send(head).then(ReplyStep::Endless(b"x".to_vec(), DRIP_INTERVAL))
    });
    let response = CallerRequest::new("GET", "/look/a", "r1").fetch(fixture.gateway.caller_address);
    assert_eq!(response.status, 200);
    wait_for("the connection to be closed", || {
        fixture.interrupted_replies() == 1
    });
}

#[test]
fn memory_for_incomplete_responses_is_bounded_in_total() {
    let fixture = EndlessFixture::start("desk", 1, |call, _| {
        signed_start(call, "Content-Length: 7000000\r\n\r\n")
            .then(ReplyStep::Send(vec![0; 6_900_000]))
            .then(ReplyStep::Silence)
    });
    let front = fixture.gateway.caller_address;
    let callers: Vec<_> = (0..12)
        .map(|index| {
            let request = CallerRequest::new("POST", "/book/a", &format!("r{index}"));
            thread::spawn(move || request.fetch(front).status)
        })
        .collect();
    let statuses: Vec<u16> = callers
        .into_iter()
        .map(|caller| caller.join().expect("the caller does not panic"))
        .collect();
    // Requests without room for their response fail at once, the others at their
    // deadline.
    assert!(statuses.contains(&502), "{statuses:?}");
    assert!(statuses.iter().all(|status| matches!(status, 502 | 504)));
}

#[test]
fn stream_that_drips_bytes_without_completing_an_event_resumes_at_another_engine() {
    for (case, bytes) in [("one event", b"x".as_slice()), ("lines", b"data: x\n")] {
        let fixture = EndlessFixture::start("pool", 2, move |call, run_count| {
            if run_count > 1 {
                return EngineTarget::stream(call, 4, NO_PAUSE).last_chunk();
            }
            let chunk = [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat();
            EngineTarget::stream(call, 2, NO_PAUSE)
                .chunk(b"id: 2\ndata: ")
                .then(ReplyStep::Endless(chunk, DRIP_INTERVAL))
        });
        let response =
            CallerRequest::new("POST", "/resume/a", "r1").fetch(fixture.gateway.caller_address);
        assert!(response.is_complete, "{case}");
        assert_eq!(fixture.log.runs_of("r1").len(), 2, "{case}");
    }
}

#[test]
fn endless_event_in_small_chunks_ends_the_stream() {
    let fixture = EndlessFixture::start("pool", 1, |call, _| {
        let chunks = b"1\r\nx\r\n".repeat(2_000);
        EngineTarget::stream(call, 1, NO_PAUSE).then(ReplyStep::Endless(chunks, NO_PAUSE))
    });
    let response =
        CallerRequest::new("POST", "/tell/a", "r1").fetch(fixture.gateway.caller_address);
    assert!(!response.is_complete);
    wait_for("the connection to be closed", || {
        fixture.interrupted_replies() == 1
    });
}

#[test]
fn slow_sound_stream_stays_with_its_engine() {
    let fixture = EndlessFixture::start("pool", 2, |call, _| {
        EngineTarget::stream(call, 4, Duration::from_millis(1_300)).last_chunk()
    });
    let mut request = CallerRequest::new("POST", "/resume/a", "r1");
    request.deadline_ms = 9_000;
    let response = request.fetch(fixture.gateway.caller_address);
    // The stream is ended by the route's timeout, not by the pauses between events.
    let runs = fixture.log.runs_of("r1");
    assert_eq!(runs.len(), 1);
    assert!(response.text().contains("r1 2"));
}

#[test]
fn slow_stream_that_has_nowhere_to_go_is_not_broken_off() {
    let fixture = EndlessFixture::start("pool", 1, |call, _| {
        EngineTarget::stream(call, 1, NO_PAUSE)
            .then(ReplyStep::Wait(Duration::from_millis(2_600)))
            .chunk(EngineTarget::event(call, 1).as_bytes())
            .last_chunk()
    });
    let response =
        CallerRequest::new("POST", "/resume/a", "r1").fetch(fixture.gateway.caller_address);
    assert!(response.is_complete);
    assert_eq!(fixture.log.runs_of("r1").len(), 1);
}

#[test]
fn stage_call_with_an_endless_response_is_retried_at_another_target() {
    let store = default_store();
    let mut staged_route = route("staged", "/staged/", "streaming", "pool", 1);
    staged_route["Stages"] = json!([{ "Service": "stage-a", "After": [], "Bytes": 1000 }]);
    let mut routes = default_routes();
    routes.push(staged_route);
    store.put("op/config", &config(5, &routes));
    let log = RunLog::default();
    let slow_stage = PlainTarget::start(any_port(), "s0", &log, |_: &RawCall| {
        RawReply::send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n")
            .then(ReplyStep::Endless(b" ".to_vec(), DRIP_INTERVAL))
    });
    let slow_stage = slow_stage.expect("the stage starts");
    register(&store, "s0", "stage-a", slow_stage.server().address());
    let engine =
        EngineTarget::start(any_port(), "e0", &log, 2, NO_PAUSE).expect("the engine starts");
    register(&store, "e0", "pool", engine.server().address());
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == 2);
    let request = CallerRequest::new("POST", "/staged/a", "r1")
        .with_header("Pieces", "1")
        .with_header("Piece-Key", "ab");
    let mut caller = request.send(gateway.caller_address);
    wait_for("the call of the slow stage", || {
        log.runs().iter().any(|run| run.target == "s0")
    });
    let healthy_stage = StageTarget::start(any_port(), "s1", Duration::from_millis(20));
    let healthy_stage = healthy_stage.expect("the stage starts");
    register(&store, "s1", "stage-a", healthy_stage.server().address());
    let response = support::RawResponse::read(&mut caller);
    assert!(response.is_complete, "status {}", response.status);
    assert_eq!(healthy_stage.call_count(), 1);
}
