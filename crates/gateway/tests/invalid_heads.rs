//! Answers of targets whose head is not that of an HTTP response. None may reach a
//! caller, neither as an answer nor with bytes that follow the head.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{
    CallerRequest, GatewayProcess, RawResponse, any_port, config, default_store, register, route,
    start_targets,
};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, ReplyStep, RunLog, StageTarget, StoreServer,
};

/// Fields of a success of a target.
const FIELDS: &str = "Response-Signature: 3e1b.07\r\nContent-Type: text/event-stream\r\n";
/// Complete events of a stream, and the body of plain answers.
const EVENTS: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
/// A complete answer to another request.
const HIDDEN_ANSWER: &str =
    "HTTP/1.1 200 OK\r\nResponse-Signature: 3e1b.07\r\nContent-Length: 6\r\n\r\nhidden";

/// Lines that are no fields of an HTTP message: a blank or a control byte in the name,
/// no name, no colon, or a control byte in the value.
const ODD_LINES: &[&[u8]] = &[
    b"Odd Name: x",
    b"Odd\tName: x",
    b" Odd: x",
    b"\tOdd: x",
    b"Odd : x",
    b"Odd\t: x",
    b"O\x00dd: x",
    b"O\x01dd: x",
    b"O\x0bdd: x",
    b"O\x1bdd: x",
    b"O\x7fdd: x",
    b"O\rdd: x",
    b"O\xe9dd: x",
    b": x",
    b"Odd",
    b"Content-Length : 3",
    b"Content Length: 3",
    b"Transfer-Encoding : chunked",
    b"Content-Encoding : gzip",
    b"Odd: x\x00",
    b"Odd: x\x01",
    b"Odd: x\ry",
];

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

/// A success with an odd line before or after the length of its body.
fn reply_with_line(line: &[u8], is_first: bool, body: &str) -> Vec<u8> {
    let framing = format!("Content-Length: {}\r\n", body.len());
    let (before, after) = if is_first {
        ("", framing.as_str())
    } else {
        (framing.as_str(), "")
    };
    let head = format!("HTTP/1.1 200 OK\r\n{FIELDS}{before}");
    let rest = format!("\r\n{after}\r\n{body}");
    [head.as_bytes(), line, rest.as_bytes()].concat()
}

#[test]
fn plain_answer_with_an_invalid_status_reaches_no_caller() {
    PLAIN.check_statuses();
}

#[test]
fn stream_with_an_invalid_status_reaches_no_caller() {
    STREAMS.check_statuses();
}

#[test]
fn plain_answer_with_an_odd_field_name_reaches_no_caller() {
    for (number, line) in ODD_LINES.iter().enumerate() {
        PLAIN.check(&reply_with_line(line, number % 2 == 0, EVENTS));
    }
}

#[test]
fn stream_with_an_odd_field_name_reaches_no_caller() {
    for (number, line) in ODD_LINES.iter().enumerate() {
        STREAMS.check(&reply_with_line(line, number % 2 == 1, EVENTS));
    }
}

/// Checks that an answer of a stage with other results is not used: another target
/// produces the inputs of the request.
fn check_stage_answer(reply: &[u8]) {
    let case = reply.escape_ascii();
    let store = default_store();
    let mut staged = route("staged", "/staged/", "streaming", "pool", 1);
    staged["Stages"] = json!([{ "Service": "stage-a", "After": [], "Bytes": 1000 }]);
    store.put("op/config", &config(5, &[staged]));
    let log = RunLog::default();
    let broken = reply.to_vec();
    let _broken = start_targets(&store, &log, "stage-a", "s", 1, move |_: &RawCall| {
        RawReply::send(broken.clone()).then(ReplyStep::Silence)
    });
    let _engines = start_targets(&store, &log, "pool", "e", 1, |call: &RawCall| {
        EngineTarget::stream(call, 2, Duration::ZERO).last_chunk()
    });
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == 2);
    let request = CallerRequest::new("POST", "/staged/a", "r1")
        .with_header("Pieces", "1")
        .with_header("Piece-Key", "ab");
    let mut caller = request.send(gateway.caller_address);
    let line = gateway.wait_log_line(|line| line["msg"] == "stage: Call ended.");
    assert_eq!(line["end"], "malformed", "{case}");
    let sound = StageTarget::start(any_port(), "s9", Duration::ZERO);
    let sound = sound.expect("the target starts");
    register(&store, "s9", "stage-a", sound.server().address());
    let response = RawResponse::read(&mut caller);
    assert_eq!(
        (response.status, response.is_complete),
        (200, true),
        "{case}"
    );
    let results = sound.results();
    let runs = log.runs_of("r1");
    let inputs: Vec<_> = runs.iter().map(|run| run.call.header("Inputs")).collect();
    assert_eq!(inputs, [Some(results[0].1.as_str())], "{case}");
}

#[test]
fn stage_answer_with_an_invalid_head_is_not_used() {
    let items = r#"{"Items":[{"Handle":"127.0.0.1:1/f00d"}]}"#;
    for line in ODD_LINES.iter().step_by(3) {
        check_stage_answer(&reply_with_line(line, true, items));
    }
    for status in ["000", "101", "999"] {
        let length = items.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{items}");
        let reply = format!("HTTP/1.1 {status} Trouble\r\n\r\n{answer}");
        check_stage_answer(reply.as_bytes());
    }
}

/// The names of results become a header of the request to the engine.
#[test]
fn stage_result_with_an_odd_name_is_not_used() {
    for name in [
        "127.0.0.1:1/a\r\nHold: 1",
        "127.0.0.1:1/a\nHold: 1",
        "127.0.0.1:1/a\r\n\r\nPOST /hidden HTTP/1.1",
        "127.0.0.1:1/a,127.0.0.1:1/b",
        "127.0.0.1:1/a b",
        "127.0.0.1:1/\u{0}",
        "127.0.0.1:1/\u{7f}",
        "127.0.0.1:1/\u{e9}",
        "",
    ] {
        let items = json!({ "Items": [{ "Handle": name }] }).to_string();
        let length = items.len();
        let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{items}");
        check_stage_answer(reply.as_bytes());
    }
}

/// The end of a body in chunks is not certain if something else follows the last chunk
/// than trailers, such as the head of another answer.
#[test]
fn answer_with_invalid_trailers_is_no_success() {
    let hidden = HIDDEN_ANSWER.as_bytes();
    let trailers = ODD_LINES.iter().copied().chain([hidden]);
    for trailer in trailers {
        let case = trailer.escape_ascii();
        let chunk = format!("{:x}\r\n{EVENTS}\r\n0\r\n", EVENTS.len());
        let head = format!("HTTP/1.1 200 OK\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n");
        let reply = [head.as_bytes(), chunk.as_bytes(), trailer, b"\r\n\r\n"].concat();
        let fixture = HeadFixture::start("desk", &reply);
        let address = fixture.gateway.caller_address;
        let response = CallerRequest::new("POST", "/book/a", "r1").fetch(address);
        assert_eq!(response.status, 502, "{case}");
        let response = CallerRequest::new("POST", "/look/a", "r2").fetch(address);
        assert_eq!(
            (response.status, response.text()),
            (200, EVENTS.to_owned()),
            "{case}"
        );
        assert_eq!(fixture.log.runs_of("r2").len(), 2, "{case}");
        let fixture = HeadFixture::start("pool", &reply);
        let address = fixture.gateway.caller_address;
        let response = CallerRequest::new("POST", "/tell/a", "r1").fetch(address);
        assert!(!response.is_complete, "{case}");
    }
}

#[test]
fn valid_trailers_are_dropped() {
    let chunk = format!("{:x}\r\n{EVENTS}\r\n0\r\n", EVENTS.len());
    let reply = format!(
        "HTTP/1.1 200 OK\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n{chunk}\
         Checksum: 1f\r\nx-empty:\r\n\r\n"
    );
    for pair in [PLAIN, STREAMS] {
        let fixture = HeadFixture::start(pair.service, reply.as_bytes());
        let address = fixture.gateway.caller_address;
        let response = CallerRequest::new("POST", pair.once, "r1").fetch(address);
        assert_eq!((response.status, response.text()), (200, EVENTS.to_owned()));
        assert!(response.is_complete);
        assert_eq!(response.header("Checksum"), None);
    }
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
