//! What callers get whose requests come, or are still unanswered, late in a planned stop.

mod support;

use std::{
    io::{Read, Write},
    time::Duration,
};

use rustix::process::Signal;
use serde_json::json;
use support::{
    CallerRequest, GatewayProcess, RawResponse, any_port, config, route, start_targets, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, ReplyGate, ReplyStep, RunLog, StoreServer,
};

/// Longer than the grace period of the gateways, which is 8 s.
const TIMEOUT_MS: u32 = 15_000;
/// Events that the engine sends before the gate.
const EVENTS: u32 = 2;
/// Body of a request that the gateway reads in several pieces, all of which have arrived.
const LARGE_BODY_BYTES: usize = 65_000;

struct StopFixture {
    gateway: GatewayProcess,
    log: RunLog,
    /// Opened to let the engine end its streams.
    stream_end: ReplyGate,
    _targets: Vec<PlainTarget>,
    _store: StoreServer,
}

impl StopFixture {
    /// Starts a gateway with an engine, and a target of bookings and one of a stage that
    /// reply as `script` says.
    fn start<F>(script: F) -> Self
    where
        F: Fn(&RawCall) -> RawReply + Clone + Send + Sync + 'static,
    {
        let store = StoreServer::start(any_port()).expect("the store starts");
        let mut staged = route("staged", "/staged/", "streaming", "pool", 1);
        staged["Stages"] = json!([{ "Service": "stage-a", "After": [], "Bytes": 1000 }]);
        let mut routes = [
            route("book", "/book/", "non_idempotent", "desk", 1),
            route("tell", "/tell/", "streaming", "pool", 1),
            staged,
        ];
        for route in &mut routes {
            route["TimeoutMs"] = json!(TIMEOUT_MS);
            route["GoalMs"] = json!(TIMEOUT_MS);
        }
        store.put("op/config", &config(3, &routes));
        let log = RunLog::default();
        let stream_end = ReplyGate::default();
        let gate = stream_end.clone();
        let mut targets = start_targets(&store, &log, "pool", "e", 1, move |call: &RawCall| {
            EngineTarget::stream(call, EVENTS, Duration::ZERO)
                .then(ReplyStep::WaitFor(gate.clone()))
                .last_chunk()
        });
        targets.extend(start_targets(&store, &log, "desk", "t", 1, script.clone()));
        targets.extend(start_targets(&store, &log, "stage-a", "s", 1, script));
        let gateway = GatewayProcess::start_ready("n1", store.address());
        gateway.wait_log_line(|line| line["targets"] == 3);
        Self {
            gateway,
            log,
            stream_end,
            _targets: targets,
            _store: store,
        }
    }

    /// Sends a stream's request with a body of `body_bytes` and, once its response has
    /// begun, a booking behind it on the same connection, and stops the gateway. The
    /// stream ends when idle connections have been closed. Returns the answers and
    /// whether the process ended well.
    fn book_late(
        &mut self,
        deadline_ms: u32,
        body_bytes: usize,
    ) -> (RawResponse, RawResponse, bool) {
        let mut stream = CallerRequest::new("POST", "/tell/a", "stream");
        stream.deadline_ms = TIMEOUT_MS;
        stream.body = vec![b'x'; body_bytes];
        let mut connection = stream.send(self.gateway.caller_address);
        // The response must have begun before the stop: a later one announces that its
        // connection is closed, and then nothing behind it is read.
        let begun = connection.peek(&mut [0]);
        assert_eq!(begun.expect("the stream begins"), 1);
        let mut booking = CallerRequest::new("POST", "/book/a", "late");
        booking.deadline_ms = deadline_ms;
        connection
            .write_all(&booking.encode())
            .expect("the booking is sent");
        self.gateway.signal(Signal::TERM);
        self.gateway.wait_log_line(|line| {
            line["msg"] == "drain: Next step." && line["phase"] == "finishing"
        });
        self.stream_end.open();
        let streamed = RawResponse::read(&mut connection);
        assert_eq!(streamed.header("Connection"), None);
        let booked = RawResponse::read(&mut connection);
        (streamed, booked, self.gateway.wait_exit())
    }
}

/// Guards against requests that are taken late in the grace period, passed on, and cut at
/// its end.
#[test]
fn late_request_that_may_outlast_the_grace_period_is_rejected_without_a_run() {
    let mut fixture = StopFixture::start(|_| RawReply::silence());
    let (streamed, booked, is_success) = fixture.book_late(TIMEOUT_MS, 0);
    assert!(streamed.is_complete);
    assert_eq!(booked.status, 503);
    assert_eq!(booked.header("Connection"), Some("close"));
    assert!(fixture.log.runs_of("late").is_empty());
    assert!(is_success);
}

/// Guards against rejecting late requests that can be answered in time.
#[test]
fn late_request_that_ends_within_the_grace_period_is_served() {
    let mut fixture =
        StopFixture::start(|call: &RawCall| PlainTarget::signed(call, "200 OK", b"booked"));
    let (streamed, booked, is_success) = fixture.book_late(1_000, 0);
    assert!(streamed.is_complete);
    assert_eq!(booked.status, 200);
    assert!(is_success);
}

/// Guards against closing a connection as idle on which a request has already arrived.
/// After several reads that found bytes ready the connection's task yields once before
/// the next read, and was ended there.
#[test]
fn late_request_behind_a_large_one_is_served() {
    let mut fixture =
        StopFixture::start(|call: &RawCall| PlainTarget::signed(call, "200 OK", b"booked"));
    let (streamed, booked, is_success) = fixture.book_late(1_000, LARGE_BODY_BYTES);
    assert!(streamed.is_complete);
    assert_eq!(booked.status, 200);
    assert!(is_success);
}

/// Guards against requests that are cut without an answer at the end of the grace period:
/// those that were sent get an error, the others are rejected as not run.
#[test]
fn requests_without_an_answer_at_the_end_of_the_grace_period_get_one() {
    let mut fixture = StopFixture::start(|_| RawReply::silence());
    let front = fixture.gateway.caller_address;
    let mut booking = CallerRequest::new("POST", "/book/a", "sent");
    booking.deadline_ms = TIMEOUT_MS;
    let mut sent = booking.send(front);
    let mut prompt = CallerRequest::new("POST", "/staged/a", "waiting")
        .with_header("Pieces", "1")
        .with_header("Piece-Key", "ab");
    prompt.deadline_ms = TIMEOUT_MS;
    let mut waiting = prompt.send(front);
    wait_for("both requests", || fixture.log.runs().len() == 2);
    fixture.gateway.signal(Signal::TERM);
    assert_eq!(RawResponse::read(&mut sent).status, 502);
    assert_eq!(RawResponse::read(&mut waiting).status, 503);
    assert!(fixture.log.runs_of("waiting").is_empty());
    assert!(fixture.gateway.wait_exit());
}

/// Guards against an error response in the middle of a stream that is being resumed as
/// the grace period ends.
#[test]
fn stream_that_is_resumed_at_the_end_of_the_grace_period_is_cut() {
    let store = StoreServer::start(any_port()).expect("the store starts");
    let mut resumable = route("resumable", "/resume/", "streaming", "pool", 2);
    resumable["Resumable"] = json!(true);
    resumable["TimeoutMs"] = json!(TIMEOUT_MS);
    store.put("op/config", &config(3, &[resumable]));
    let log = RunLog::default();
    let script_log = log.clone();
    let _engines = start_targets(&store, &log, "pool", "e", 2, move |call: &RawCall| {
        if script_log.runs().len() > 1 {
            return RawReply::silence();
        }
        EngineTarget::stream(call, 1, Duration::ZERO).then(ReplyStep::Close)
    });
    let mut gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == 2);
    let mut request = CallerRequest::new("POST", "/resume/a", "s1");
    request.deadline_ms = TIMEOUT_MS;
    let mut connection = request.send(gateway.caller_address);
    wait_for("the second engine", || log.runs_of("s1").len() == 2);
    gateway.signal(Signal::TERM);
    let mut answer = Vec::new();
    // A reset of the connection is an end too.
    let _ = connection.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    assert!(gateway.wait_exit());
}
