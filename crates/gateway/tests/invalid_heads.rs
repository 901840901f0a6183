//! Answers of targets whose head is not that of an HTTP response. None may reach a
//! caller, neither as an answer nor with bytes that follow the head.

mod support;

use support::{CallerRequest, GatewayProcess, default_store, start_targets};
use verbenahub_platform_standin::{PlainTarget, RawCall, RawReply, ReplyStep, RunLog, StoreServer};

/// Fields of a success of a target.
const FIELDS: &str = "Response-Signature: 3e1b.07\r\nContent-Type: text/event-stream\r\n";
/// Complete events of a stream, and the body of plain answers.
const EVENTS: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
/// A complete answer to another request.
const HIDDEN_ANSWER: &str =
    "HTTP/1.1 200 OK\r\nResponse-Signature: 3e1b.07\r\nContent-Length: 6\r\n\r\nhidden";

/// A route that allows one attempt and one that allows another, and their service.
struct RoutePair {
    service: &'static str,
    once: &'static str,
    repeated: &'static str,
}

const PLAIN: RoutePair = RoutePair {
    service: "desk",
    once: "/book/a",
    repeated: "/look/a",
};
const STREAMS: RoutePair = RoutePair {
    service: "pool",
    once: "/tell/a",
    repeated: "/resume/a",
};

/// A gateway with two targets, which send a broken reply to the first run of each
/// request and a complete answer to the second.
struct HeadFixture {
    gateway: GatewayProcess,
    log: RunLog,
    _targets: Vec<PlainTarget>,
    _store: StoreServer,
}

impl HeadFixture {
    fn start(service: &str, broken: &[u8]) -> Self {
        let store = default_store();
        let log = RunLog::default();
        let (broken, runs) = (broken.to_vec(), log.clone());
        let targets = start_targets(&store, &log, service, "t", 2, move |call: &RawCall| {
            let id = call.header("Attempt-Id").unwrap_or_default();
            if runs.runs_of(id).len() == 1 {
                return RawReply::send(broken.clone()).then(ReplyStep::Silence);
            }
            let length = EVENTS.len();
            RawReply::send(format!(
                "HTTP/1.1 200 OK\r\n{FIELDS}Content-Length: {length}\r\n\r\n{EVENTS}"
            ))
        });
        let gateway = GatewayProcess::start_ready("n1", store.address());
        gateway.wait_log_line(|line| line["targets"] == targets.len());
        Self {
            gateway,
            log,
            _targets: targets,
            _store: store,
        }
    }
}

impl RoutePair {
    /// Checks that a broken reply fails a request that may run once, and that another
    /// target answers a request that may be repeated. The connection stays open, so
    /// that only the head can tell that the reply is broken.
    fn check(&self, broken: &[u8]) {
        let case = broken.escape_ascii();
        let fixture = HeadFixture::start(self.service, broken);
        let address = fixture.gateway.caller_address;
        let response = CallerRequest::new("POST", self.once, "r1").fetch(address);
        assert_eq!(response.status, 502, "{case}: {}", response.head);
        assert_eq!(response.header("Response-Signature"), None, "{case}");
        let response = CallerRequest::new("POST", self.repeated, "r2").fetch(address);
        assert_eq!(response.status, 200, "{case}");
        assert_eq!(response.text(), EVENTS, "{case}");
        assert!(response.is_complete, "{case}");
        for (id, runs) in [("r1", 1), ("r2", 2)] {
            assert_eq!(fixture.log.runs_of(id).len(), runs, "{case}");
            let line = fixture.gateway.wait_log_line(|line| {
                line["msg"] == "request: Attempt ended." && line["request"] == id
            });
            let end = line["end"].as_str().expect("a text");
            assert!(end.starts_with("invalid response: "), "{case}: {end}");
        }
    }

    /// Replies whose status is not that of a final or interim response, with and
    /// without a length, and with a complete answer behind them.
    fn check_statuses(&self) {
        let length = EVENTS.len();
        for status in ["000", "001", "099", "101", "600", "999"] {
            let head = format!("HTTP/1.1 {status} Trouble\r\n{FIELDS}");
            self.check(format!("{head}Content-Length: {length}\r\n\r\n{EVENTS}").as_bytes());
            self.check(format!("{head}\r\n{HIDDEN_ANSWER}").as_bytes());
        }
        let length = HIDDEN_ANSWER.len();
        for framing in [
            format!("Content-Length: {length}"),
            "Transfer-Encoding: chunked".into(),
        ] {
            let head = format!("HTTP/1.1 102 Processing\r\n{framing}\r\n\r\n");
            self.check(format!("{head}{HIDDEN_ANSWER}").as_bytes());
        }
        for line in [
            "000", "000 ", "20 OK", "2000 OK", "2x0 OK", "-20 OK", "0x0 OK",
        ] {
            self.check(format!("HTTP/1.1 {line}\r\n\r\n{HIDDEN_ANSWER}").as_bytes());
        }
    }
}

#[test]
fn plain_answer_with_an_invalid_status_reaches_no_caller() {
    PLAIN.check_statuses();
}

#[test]
fn stream_with_an_invalid_status_reaches_no_caller() {
    STREAMS.check_statuses();
}

/// Heads of valid interim responses are no answers, and don't spoil the one that
/// follows.
#[test]
fn interim_responses_before_an_answer_are_skipped() {
    let store = default_store();
    let log = RunLog::default();
    let targets = start_targets(&store, &log, "desk", "t", 1, |call: &RawCall| {
        let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n\
                       HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n";
        let mut reply = RawReply::send(interim);
        reply
            .steps
            .extend(PlainTarget::signed(call, "200 OK", b"whole").steps);
        reply
    });
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == targets.len());
    let response = CallerRequest::new("POST", "/book/a", "r1").fetch(gateway.caller_address);
    assert_eq!((response.status, response.text().as_str()), (200, "whole"));
}
