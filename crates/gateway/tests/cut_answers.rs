//! Answers that break off at any byte must not reach callers as complete successes.

mod support;

use std::{thread, time::Duration};

use support::{CallerRequest, GatewayProcess, RawResponse, default_store, start_targets};
use verbenahub_platform_standin::{PlainTarget, RawCall, RawReply, ReplyStep, RunLog, StoreServer};

const BODY: &str = "whole";
/// Pause before another request is sent to a target that is avoided.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// How a target marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

impl Framing {
    const ALL: [Self; 3] = [Self::Length, Self::Chunked, Self::UntilClose];

    fn declaration(self, text: &str) -> String {
        match self {
            Self::Length => format!("Content-Length: {}\r\n", text.len()),
            Self::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Self::UntilClose => String::new(),
        }
    }

    fn body(self, text: &str) -> String {
        match self {
            Self::Chunked => format!("{:x}\r\n{text}\r\n0\r\n\r\n", text.len()),
            Self::Length | Self::UntilClose => text.to_owned(),
        }
    }
}

/// Head and complete answer of a target to the request `id`.
fn answer(id: &str, framing: Framing, content_type: &str, text: &str) -> (usize, String) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.07\r\nContent-Type: {content_type}\r\n{}\r\n",
        framing.declaration(text)
    );
    (head.len(), head + &framing.body(text))
}

/// Targets that cut the answers to requests with ids such as `c17` after so many bytes.
struct CutFixture {
    gateway: GatewayProcess,
    log: RunLog,
    _targets: Vec<PlainTarget>,
    _store: StoreServer,
}

impl CutFixture {
    fn start(
        service: &str,
        framing: Framing,
        content_type: &'static str,
        text: &'static str,
    ) -> Self {
        let store = default_store();
        let log = RunLog::default();
        let targets = start_targets(&store, &log, service, "t", 1, move |call: &RawCall| {
            let id = call.header("Attempt-Id").unwrap_or_default();
            let (_, whole) = answer(id, framing, content_type, text);
            let cut = id.strip_prefix('c').and_then(|text| text.split('-').next());
            let length = cut.and_then(|text| text.parse().ok());
            let length = whole.len().min(length.unwrap_or(usize::MAX));
            RawReply::send(&whole.as_bytes()[..length]).then(ReplyStep::Close)
        });
        let gateway = GatewayProcess::start_ready("n1", store.address());
        gateway.wait_log_line(|line| line["targets"] == 1);
        Self {
            gateway,
            log,
            _targets: targets,
            _store: store,
        }
    }

    /// Sends requests whose answers are cut after `length` bytes until the target has run
    /// one. A target whose answers break off is avoided for a moment.
    fn fetch_cut(&self, path: &str, length: usize) -> RawResponse {
        for number in 0..200 {
            let id = format!("c{length:05}-{number:03}");
            let response = CallerRequest::new("POST", path, &id).fetch(self.gateway.caller_address);
            if !self.log.runs_of(&id).is_empty() {
                return response;
            }
            thread::sleep(RETRY_INTERVAL);
        }
        panic!("no request reaches the target");
    }
}

/// Guards against a success with an empty or short body after an answer that stopped in
/// its head or body.
#[test]
fn plain_answer_that_is_cut_at_any_byte_is_no_success() {
    for framing in Framing::ALL {
        let fixture = CutFixture::start("desk", framing, "text/plain", BODY);
        let (head, whole) = answer("c00000-000", framing, "text/plain", BODY);
        // Without a length, a body can't be told from a longer one that was cut.
        let end = if framing == Framing::UntilClose {
            head
        } else {
            whole.len()
        };
        for length in 0..end {
            let response = fixture.fetch_cut("/book/a", length);
            assert_eq!(response.status, 502, "{framing:?}, {length} bytes");
        }
        let complete = fixture.fetch_cut("/book/a", 10_000);
        assert_eq!((complete.status, complete.text().as_str()), (200, BODY));
    }
}

/// Guards against a stream that stopped in its head or in an event and looks complete.
#[test]
fn stream_that_is_cut_at_any_byte_does_not_look_complete() {
    let text = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
    for framing in [Framing::Length, Framing::Chunked] {
        let fixture = CutFixture::start("pool", framing, "text/event-stream", text);
        let (_, whole) = answer("c00000-000", framing, "text/event-stream", text);
        for length in 0..whole.len() {
            let response = fixture.fetch_cut("/tell/a", length);
            let is_success = response.status == 200 && response.is_complete;
            assert!(!is_success, "{framing:?}, {length} bytes");
        }
    }
}
