//! Targets whose answers always have more bytes ready. Requests of other callers and
//! timers of the gateway must run all the same.

mod support;

use std::{
    io::Read,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use serde_json::{Value, json};
use support::{
    CallerRequest, GatewayProcess, RawResponse, any_port, config, connect, default_store, route,
    start_targets, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, ReplyStep, RunLog, StoreServer,
};

/// No pause between the parts of a reply.
const NO_PAUSE: Duration = Duration::ZERO;
/// Number of bookings that are made while an answer keeps the gateway busy.
const BOOKINGS: usize = 10;
/// Timeout of the busy answers, so long that a slow machine makes the bookings in time.
const STREAM_TIMEOUT_MS: u32 = 15_000;

/// A gateway between two desks that answer at once and a target that is always ready
/// to send.
struct BusyFixture {
    gateway: GatewayProcess,
    busy: Vec<PlainTarget>,
    _desks: Vec<PlainTarget>,
    _store: StoreServer,
}

impl BusyFixture {
    fn start<F>(script: F) -> Self
    where
        F: Fn(&RawCall) -> RawReply + Clone + Send + Sync + 'static,
    {
        let store = StoreServer::start(any_port()).expect("the store starts");
        let mut streamed = route("tell", "/tell/", "streaming", "pool", 1);
        streamed["TimeoutMs"] = json!(STREAM_TIMEOUT_MS);
        let booked = route("book", "/book/", "non_idempotent", "desk", 1);
        store.put("op/config", &config(3, &[streamed, booked]));
        let log = RunLog::default();
        let busy = start_targets(&store, &log, "pool", "e", 1, script);
        let desks = start_targets(&store, &log, "desk", "t", 2, |call: &RawCall| {
            PlainTarget::signed(call, "200 OK", b"booked")
        });
        let gateway = GatewayProcess::start_ready("n1", store.address());
        gateway.wait_log_line(|line| line["targets"] == 3);
        Self {
            gateway,
            busy,
            _desks: desks,
            _store: store,
        }
    }

    /// Makes bookings, one after the other. Returns their statuses.
    fn book(&self) -> Vec<u16> {
        let bookings = (0..BOOKINGS).map(|index| {
            let booking = CallerRequest::new("POST", "/book/a", &format!("b{index}"));
            booking.fetch(self.gateway.caller_address).status
        });
        bookings.collect()
    }

    /// How the stream had ended when the last booking was answered, if it had.
    fn stream_outcome_at_last_booking(&self) -> Option<String> {
        let last = format!("b{}", BOOKINGS - 1);
        let is_end =
            |line: &Value, id: &str| line["msg"] == "request: Ended." && line["request"] == id;
        self.gateway.wait_log_line(|line| is_end(line, &last));
        let lines = self.gateway.log_lines();
        let earlier = lines.iter().take_while(|line| !is_end(line, &last));
        let ended = earlier.filter(|line| is_end(line, "s1")).last()?;
        ended["outcome"].as_str().map(str::to_owned)
    }
}

/// A caller that reads its stream as fast as it comes, until the value is dropped.
struct StreamCaller {
    has_begun: Arc<AtomicBool>,
    is_stopped: Arc<AtomicBool>,
    reader: Option<JoinHandle<()>>,
}

impl StreamCaller {
    fn start(front: SocketAddr) -> Self {
        let (has_begun, is_stopped) = (Arc::default(), Arc::default());
        let (begun, stopped): (Arc<AtomicBool>, Arc<AtomicBool>) =
            (Arc::clone(&has_begun), Arc::clone(&is_stopped));
        let mut request = CallerRequest::new("POST", "/tell/a", "s1");
        request.deadline_ms = STREAM_TIMEOUT_MS;
        let mut stream = request.send(front);
        let reader = thread::spawn(move || {
            let mut bytes = vec![0; 1 << 20];
            while let Ok(1..) = stream.read(&mut bytes) {
                begun.store(true, Ordering::SeqCst);
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
            }
        });
        Self {
            has_begun,
            is_stopped,
            reader: Some(reader),
        }
    }

    fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::SeqCst)
    }
}

impl Drop for StreamCaller {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        if let Some(reader) = self.reader.take() {
            // A panic of the reader was already printed by its thread.
            let _ = reader.join();
        }
    }
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

fn endless_after_first_event(call: &RawCall, bytes: Vec<u8>) -> RawReply {
    EngineTarget::stream(call, 1, NO_PAUSE).then(ReplyStep::Endless(bytes, NO_PAUSE))
}

/// Guards against review/3: one answer that never made its task wait kept the process
/// from everything else.
#[test]
fn endless_stream_does_not_hold_up_other_requests() {
    let event = b"id: 1\ndata: x\n\n".as_slice();
    let cases = [
        ("line feeds", chunk(&b"\n".repeat(0x8000)).repeat(8)),
        ("comments", chunk(&b": x\n\n".repeat(0x1000)).repeat(8)),
        ("events", chunk(&event.repeat(0x800)).repeat(8)),
        ("small chunks", chunk(event).repeat(0x1000)),
    ];
    for (case, bytes) in cases {
        let fixture =
            BusyFixture::start(move |call| endless_after_first_event(call, bytes.clone()));
        let caller = StreamCaller::start(fixture.gateway.caller_address);
        wait_for("the answer to begin", || caller.has_begun());
        assert_eq!(fixture.book(), [200; BOOKINGS], "{case}");
        let outcome = fixture.stream_outcome_at_last_booking();
        assert_ne!(outcome.as_deref(), Some("time_over"), "{case}");
    }
}

/// Guards against answers that never end because each blank line or comment counted
/// as an event.
#[test]
fn stream_that_sends_bytes_but_no_events_is_ended() {
    let cases = [
        ("line feeds", chunk(&b"\n".repeat(0x8000))),
        ("comments", chunk(&b": x\n\n".repeat(0x1000))),
    ];
    for (case, bytes) in cases {
        let fixture =
            BusyFixture::start(move |call| endless_after_first_event(call, bytes.clone()));
        let mut request = CallerRequest::new("POST", "/tell/a", "s1");
        request.deadline_ms = STREAM_TIMEOUT_MS;
        let response = request.fetch(fixture.gateway.caller_address);
        assert!(!response.is_complete, "{case}");
        let ended = fixture
            .gateway
            .wait_log_line(|line| line["msg"] == "request: Ended.");
        assert_eq!(ended["outcome"], "stream_broken", "{case}");
        wait_for("the connection to be closed", || {
            fixture.busy[0].server().aborted_replies() == 1
        });
    }
}

/// Guards against timers that don't fire while an answer always has bytes ready: the
/// deadline must end the request.
#[test]
fn endless_small_chunks_in_a_plain_answer_end_at_the_deadline() {
    let store = default_store();
    let log = RunLog::default();
    let targets = start_targets(&store, &log, "desk", "t", 1, |call: &RawCall| {
        let id = call.header("Attempt-Id").unwrap_or_default();
        if id != "slow" {
            return PlainTarget::signed(call, "200 OK", b"booked");
        }
        let part = format!("1;{}\r\nx\r\n", "y".repeat(240)).into_bytes();
        let headers = [("Attempt-Id", id), ("Response-Signature", "3e1b.07")];
        RawReply::chunked("200 OK", &headers).then(ReplyStep::Endless(part.repeat(200), NO_PAUSE))
    });
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == 1);
    let mut slow = CallerRequest::new("POST", "/book/a", "slow");
    slow.deadline_ms = 500;
    let mut slow_caller = slow.send(gateway.caller_address);
    wait_for("the slow run", || log.runs_of("slow").len() == 1);
    let booking = CallerRequest::new("POST", "/book/a", "b1");
    assert_eq!(booking.fetch(gateway.caller_address).status, 200);
    assert_eq!(RawResponse::read(&mut slow_caller).status, 504);
    wait_for("the connection to be closed", || {
        targets[0].server().aborted_replies() == 1
    });
}

/// Guards against an accept loop that starves requests while connections keep coming.
#[test]
fn flood_of_connections_does_not_hold_up_requests() {
    let fixture = BusyFixture::start(|call| EngineTarget::stream(call, 1, NO_PAUSE).last_chunk());
    let front = fixture.gateway.caller_address;
    let is_stopped: Arc<AtomicBool> = Arc::default();
    let floods: Vec<_> = (0..4)
        .map(|_| {
            let stopped = Arc::clone(&is_stopped);
            thread::spawn(move || {
                while !stopped.load(Ordering::SeqCst) {
                    drop(connect(front));
                }
            })
        })
        .collect();
    let statuses = fixture.book();
    is_stopped.store(true, Ordering::SeqCst);
    for flood in floods {
        flood.join().expect("the flood does not panic");
    }
    assert_eq!(statuses, [200; BOOKINGS]);
}
