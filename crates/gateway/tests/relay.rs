//! Tests of requests that are not streams: what callers and targets receive, byte
//! for byte, and how a gateway handles targets that fail or send invalid
//! responses.

mod support;

use std::{io::Write, net::Shutdown, time::Duration};

use support::{
    CallerRequest, GatewayProcess, RawResponse, any_port, connect, default_store, register,
    start_targets, wait_for,
};
use verbenahub_platform_standin::{PlainTarget, RawCall, RawReply, ReplyStep, RunLog};

/// A gateway with scripted targets of the service `desk`.
struct PlainFixture {
    gateway: GatewayProcess,
    log: RunLog,
    targets: Vec<PlainTarget>,
    _store: verbenahub_platform_standin::StoreServer,
}

impl PlainFixture {
    fn start<F>(targets: usize, script: F) -> Self
    where
        F: Fn(&RawCall) -> RawReply + Clone + Send + Sync + 'static,
    {
        let store = default_store();
        let log = RunLog::default();
        let targets = start_targets(&store, &log, "desk", "t", targets, script);
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

    fn ask(&self, request: &CallerRequest) -> RawResponse {
        request.fetch(self.gateway.caller_address)
    }

    fn runs(&self, id: &str) -> usize {
        self.log.runs_of(id).len()
    }
}

fn done(call: &RawCall) -> RawReply {
    PlainTarget::signed(call, "200 OK", b"booked")
}

#[test]
fn request_and_answer_pass_byte_for_byte() {
    let fixture = PlainFixture::start(1, done);
    let mut request = CallerRequest::new("POST", "/book/../p/%2e%2e//q/./r?x=%20&y=/..", "r1")
        .with_header("X-Own", "  Two  Words ")
        .with_header("x-own", "again")
        .with_header("Accept", "*/*");
    request.body = vec![0, 13, 10, 255, b'x'];
    let answer = fixture.ask(&request);
    assert_eq!((answer.status, answer.text().as_str()), (200, "booked"));
    assert_eq!(answer.header("Response-Signature"), Some("3e1b.07"));
    assert_eq!(answer.header("Attempt-Id"), Some("r1"));
    let run = fixture.log.runs_of("r1").remove(0).call;
    assert_eq!(
        (run.method.as_str(), run.target.as_str()),
        ("POST", request.path.as_str())
    );
    assert_eq!(run.body, request.body);
    let own: Vec<&str> = run
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("x-own"))
        .map(|(_, value)| value.as_str())
        .collect();
    assert_eq!(own, ["Two  Words", "again"]);
}

#[test]
fn target_gets_the_workspace_and_not_the_key_and_only_the_gateways_own_orders() {
    let fixture = PlainFixture::start(1, done);
    let request = CallerRequest::new("GET", "/look/a", "r1")
        .with_header("Tenant", "home")
        .with_header("Expect-Instance", "other")
        .with_header("Hold", "1")
        .with_header("Pin-Ms", "1")
        .with_header("Kv-From", "10.0.0.1:1/2")
        .with_header("Kv-Backup", "10.0.0.1:1")
        .with_header("Request-Urgency", "0")
        .with_header("Inputs", "10.0.0.1:1/2")
        .with_header("Connection", "keep-alive, X-Hop");
    assert_eq!(fixture.ask(&request).status, 200);
    let run = fixture.log.runs_of("r1").remove(0).call;
    assert_eq!(run.header("Tenant"), Some("inn"));
    assert_eq!(run.header("Expect-Instance"), Some("t0"));
    let deadline = run.header("Deadline-Ms").and_then(|text| text.parse().ok());
    assert!(deadline.is_some_and(|left: u32| left <= 5_000));
    for name in [
        "Authorization",
        "Hold",
        "Pin-Ms",
        "Kv-From",
        "Kv-Backup",
        "Request-Urgency",
        "Inputs",
        "Connection",
    ] {
        assert_eq!(run.header(name), None, "{name}");
    }
}

#[test]
fn chunked_body_reaches_the_target_whole() {
    let fixture = PlainFixture::start(1, done);
    let head = "POST /book/a HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: r1\r\n\
                Authorization: Bearer key-one\r\nTransfer-Encoding: chunked\r\n\r\n";
    let body = "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n";
    let answer = RawResponse::fetch(fixture.gateway.caller_address, &format!("{head}{body}"));
    assert_eq!(answer.status, 200);
    assert_eq!(fixture.log.runs_of("r1")[0].call.body, b"abcde");
}

#[test]
fn doubtful_requests_reach_no_target() {
    let fixture = PlainFixture::start(1, done);
    let inner = "GET /look/hidden HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: hidden\r\n\
                 Authorization: Bearer key-one\r\n\r\n";
    for doubt in [
        "Content-Length: 0\r\nContent-Length: 5\r\n",
        "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Content-Length: -1\r\n",
        "Content-Length : 0\r\n",
        "Content-Length: 0\r\n X: folded\r\n",
    ] {
        let text = format!(
            "POST /book/a HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: outer\r\n\
             Authorization: Bearer key-one\r\n{doubt}\r\n{inner}"
        );
        let mut stream = connect(fixture.gateway.caller_address);
        stream.write_all(text.as_bytes()).expect("a request");
        assert_eq!(RawResponse::read(&mut stream).status, 400, "{doubt}");
        assert_eq!(RawResponse::read(&mut stream).status, 0, "{doubt}");
    }
    for chunk in [
        "5 \r\nabcde\r\n0\r\n\r\n",
        "0x5\r\nabcde\r\n",
        "2\r\nabc\r\n0\r\n\r\n",
        "5\nabcde\n0\n\n",
    ] {
        let text = format!(
            "POST /book/a HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: outer\r\n\
             Authorization: Bearer key-one\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}{inner}"
        );
        let mut stream = connect(fixture.gateway.caller_address);
        stream.write_all(text.as_bytes()).expect("a request");
        stream
            .shutdown(Shutdown::Write)
            .expect("a half-closed connection");
        let status = RawResponse::read(&mut stream).status;
        assert!(status == 400 || status == 0, "{chunk}: {status}");
    }
    assert_eq!(fixture.log.runs(), []);
}

#[test]
fn requests_on_one_connection_are_answered_in_their_order() {
    let fixture = PlainFixture::start(2, |call: &RawCall| {
        PlainTarget::signed(call, "200 OK", call.target.as_bytes())
    });
    let mut stream = connect(fixture.gateway.caller_address);
    let requests: Vec<CallerRequest> = (0..5)
        .map(|number| CallerRequest::new("GET", &format!("/look/{number}"), &format!("r{number}")))
        .collect();
    let bytes: Vec<u8> = requests.iter().flat_map(CallerRequest::encode).collect();
    stream.write_all(&bytes).expect("requests");
    for request in &requests {
        let answer = RawResponse::read(&mut stream);
        assert_eq!(
            answer.header("Attempt-Id"),
            Some(request.attempt_id.as_str())
        );
        assert_eq!(answer.text(), request.path);
    }
}

#[test]
fn unknown_routes_and_keys_are_refused() {
    let fixture = PlainFixture::start(1, done);
    let ask = |path: &str, key| {
        let request = CallerRequest {
            api_key: key,
            ..CallerRequest::new("GET", path, "r1")
        };
        fixture.ask(&request).status
    };
    assert_eq!(ask("/look/a", Some("key-two")), 200);
    assert_eq!(ask("/look/a", Some("key-three")), 401);
    assert_eq!(ask("/look/a", None), 401);
    assert_eq!(ask("/none/a", Some("key-one")), 404);
}

#[test]
fn head_and_body_have_bounds() {
    let fixture = PlainFixture::start(1, done);
    let long = CallerRequest::new("GET", "/look/a", "r1").with_header("X", &"y".repeat(20_000));
    assert_eq!(fixture.ask(&long).status, 431);
    let mut large = CallerRequest::new("POST", "/book/a", "r1");
    large.body = vec![b'x'; 70_000];
    assert_eq!(fixture.ask(&large).status, 413);
    assert_eq!(fixture.runs("r1"), 0);
}

#[test]
fn idempotent_request_goes_on_at_another_target() {
    for (case, first) in [
        (
            "failure",
            "HTTP/1.1 500 No\r\nAttempt-Id: r1\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n",
        ),
        (
            "cut",
            "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 50\r\n\r\nhalf",
        ),
        (
            "cut chunk",
            "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
        ),
        ("noise", "nonsense\r\n\r\n"),
        (
            "no signature",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
        ),
        (
            "encoded",
            "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno",
        ),
        (
            "two lengths",
            "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nnope",
        ),
        ("nothing", ""),
    ] {
        let log = RunLog::default();
        let seen = log.clone();
        let fixture = PlainFixture::start(2, move |call: &RawCall| {
            let id = call.header("Attempt-Id").unwrap_or_default();
            seen.record("any", call);
            if seen.runs_of(id).len() == 1 {
                return RawReply::send(first).then(ReplyStep::Close);
            }
            done(call)
        });
        let answer = fixture.ask(&CallerRequest::new("GET", "/look/a", "r1"));
        assert_eq!(
            (answer.status, answer.text().as_str()),
            (200, "booked"),
            "{case}"
        );
        assert_eq!(fixture.runs("r1"), 2, "{case}");
        let targets: Vec<String> = fixture
            .log
            .runs_of("r1")
            .into_iter()
            .map(|run| run.target)
            .collect();
        assert_ne!(targets[0], targets[1], "{case}");
    }
}

#[test]
fn booking_that_may_have_run_is_never_sent_again_nor_called_not_run() {
    for (case, reply) in [
        (
            "cut",
            "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 50\r\n\r\nhalf",
        ),
        ("noise", "nonsense\r\n\r\n"),
        ("nothing", ""),
        (
            "busy without a word",
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        ),
    ] {
        let fixture = PlainFixture::start(3, move |_: &RawCall| {
            RawReply::send(reply).then(ReplyStep::Close)
        });
        let mut request = CallerRequest::new("POST", "/book/a", "r1");
        request.body = b"x".to_vec();
        let answer = fixture.ask(&request);
        assert_eq!(answer.status, 502, "{case}");
        assert_eq!(answer.header("Retry-After"), None, "{case}");
        assert_eq!(fixture.runs("r1"), 1, "{case}");
    }
}

#[test]
fn signed_failure_of_a_target_passes_unchanged() {
    let fixture = PlainFixture::start(2, |call: &RawCall| {
        PlainTarget::signed(call, "500 Broken", b"own words")
    });
    for (method, path, runs) in [("POST", "/book/a", 1), ("GET", "/look/a", 2)] {
        let answer = fixture.ask(&CallerRequest::new(method, path, path));
        assert_eq!((answer.status, answer.text().as_str()), (500, "own words"));
        assert_eq!(answer.header("Response-Signature"), Some("3e1b.07"));
        assert_eq!(fixture.runs(path), runs);
    }
}

#[test]
fn refused_booking_is_called_not_run_with_a_time_to_come_back() {
    let fixture = PlainFixture::start(2, |_: &RawCall| PlainTarget::refusal());
    let answer = fixture.ask(&CallerRequest::new("POST", "/book/a", "r1"));
    assert_eq!(answer.status, 503);
    let wait: f64 = answer
        .header("Retry-After")
        .and_then(|text| text.parse().ok())
        .expect("a time");
    assert!(wait > 0.0);
    assert_eq!(fixture.runs("r1"), 1, "one attempt is allowed");
}

#[test]
fn target_at_another_address_does_not_run_the_request() {
    let store = default_store();
    let log = RunLog::default();
    let other = PlainTarget::start(any_port(), "other", &log, done).expect("a target");
    register(&store, "gone", "desk", other.server().address());
    let gateway = GatewayProcess::start_ready("n1", store.address());
    let answer = CallerRequest::new("POST", "/book/a", "r1").fetch(gateway.caller_address);
    assert_eq!(answer.status, 503);
    assert_eq!(log.runs(), []);
}

#[test]
fn unreachable_target_is_no_attempt() {
    let store = default_store();
    let log = RunLog::default();
    let dead = std::net::TcpListener::bind(any_port()).expect("a port");
    register(
        &store,
        "dead",
        "desk",
        dead.local_addr().expect("an address"),
    );
    drop(dead);
    let live = PlainTarget::start(any_port(), "live", &log, done).expect("a target");
    register(&store, "live", "desk", live.server().address());
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == 2);
    for number in 0..10 {
        let id = format!("r{number}");
        assert_eq!(
            CallerRequest::new("POST", "/book/a", &id)
                .fetch(gateway.caller_address)
                .status,
            200
        );
        assert_eq!(log.runs_of(&id).len(), 1);
    }
}

#[test]
fn extra_answers_go_to_nobody() {
    // Each response is followed by an unrequested one, either at once or after
    // 30 ms.
    let fixture = PlainFixture::start(1, |call: &RawCall| {
        let extra = PlainTarget::signed(call, "200 OK", b"extra");
        let mut reply = done(call);
        if call.number.is_multiple_of(2) {
            reply.steps.push(ReplyStep::Wait(Duration::from_millis(30)));
        }
        reply.steps.extend(extra.steps);
        reply
    });
    let mut stream = connect(fixture.gateway.caller_address);
    for number in 0..6 {
        let id = format!("r{number}");
        let request = CallerRequest::new("GET", "/look/a", &id);
        stream.write_all(&request.encode()).expect("a request");
        let answer = RawResponse::read(&mut stream);
        assert_eq!(answer.header("Attempt-Id"), Some(id.as_str()));
        assert_eq!(answer.text(), "booked");
        if number % 3 == 0 {
            std::thread::sleep(Duration::from_millis(60));
        }
    }
}

/// The second request on each connection is answered with a copy of an earlier
/// refusal before its own response.
#[test]
fn repeated_refusals_on_kept_connections_prove_nothing() {
    for (case, echoes) in [("names the earlier request", true), ("names none", false)] {
        let fixture = PlainFixture::start(1, move |call: &RawCall| {
            let id = if call.number == 0 {
                call.header("Attempt-Id").unwrap_or_default()
            } else {
                "earlier"
            };
            let headers = [("Not-Executed", "1"), ("Attempt-Id", id)];
            let count = if echoes || call.number == 0 { 2 } else { 1 };
            let mut reply = RawReply::answer("503 Service Unavailable", &headers[..count], b"full");
            if call.number > 0 {
                reply.steps.push(ReplyStep::Wait(Duration::from_millis(30)));
                reply.steps.extend(done(call).steps);
            }
            reply
        });
        let first = fixture.ask(&CallerRequest::new("POST", "/book/a", "first"));
        assert_eq!(first.status, 503, "{case}");
        let second = fixture.ask(&CallerRequest::new("POST", "/book/a", "second"));
        let expected = if echoes { 200 } else { 502 };
        assert_eq!(second.status, expected, "{case}");
        assert_eq!(second.header("Retry-After"), None, "{case}");
        // The connection is not used again, so its later bytes reach nobody.
        let third = fixture.ask(&CallerRequest::new("POST", "/book/a", "third"));
        assert_eq!(third.status, 503, "{case}");
        assert_eq!(fixture.runs("second"), 1, "{case}");
    }
}

#[test]
fn answer_without_a_length_ends_with_its_connection() {
    let fixture = PlainFixture::start(1, |call: &RawCall| {
        let id = call.header("Attempt-Id").unwrap_or_default();
        let text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\n\r\nall of it"
        );
        RawReply::send(text).then(ReplyStep::Close)
    });
    let answer = fixture.ask(&CallerRequest::new("GET", "/look/a", "r1"));
    assert_eq!((answer.status, answer.text().as_str()), (200, "all of it"));
}

#[test]
fn answer_before_the_body_is_read_reaches_the_caller() {
    let fixture = PlainFixture::start(1, |call: &RawCall| {
        PlainTarget::signed(call, "409 Conflict", b"early").then(ReplyStep::Close)
    });
    let mut request = CallerRequest::new("POST", "/book/a", "r1");
    request.body = vec![b'x'; 60_000];
    let answer = fixture.ask(&request);
    assert_eq!((answer.status, answer.text().as_str()), (409, "early"));
}

#[test]
fn caller_that_leaves_ends_the_work_at_the_target() {
    let fixture = PlainFixture::start(1, |_: &RawCall| RawReply::silence());
    let stream = CallerRequest::new("GET", "/look/a", "r1").send(fixture.gateway.caller_address);
    wait_for("the run", || fixture.runs("r1") == 1);
    drop(stream);
    let server = fixture.targets[0].server();
    wait_for("the end of the work", || server.aborted_replies() == 1);
    let line = fixture
        .gateway
        .wait_log_line(|line| line["msg"] == "request: Ended.");
    assert_eq!(line["outcome"], "caller_gone");
}

#[test]
fn silent_target_is_given_up_at_the_routes_timeout() {
    let fixture = PlainFixture::start(1, |_: &RawCall| RawReply::silence());
    let mut request = CallerRequest::new("POST", "/book/a", "r1");
    request.deadline_ms = 600;
    let answer = fixture.ask(&request);
    assert_eq!(answer.status, 504);
    assert_eq!(fixture.runs("r1"), 1);
}

#[test]
fn answer_that_stalls_is_given_up_at_the_routes_timeout() {
    let fixture = PlainFixture::start(1, |_: &RawCall| {
        RawReply::send("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf").then(ReplyStep::Silence)
    });
    let mut request = CallerRequest::new("POST", "/book/a", "r1");
    request.deadline_ms = 600;
    let answer = fixture.ask(&request);
    assert_eq!(answer.status, 504);
    assert_eq!(fixture.runs("r1"), 1);
}

#[test]
fn each_request_can_be_followed_in_the_log() {
    let fixture = PlainFixture::start(1, done);
    fixture.ask(&CallerRequest::new("GET", "/look/a", "r1"));
    let ended = fixture
        .gateway
        .wait_log_line(|line| line["msg"] == "request: Ended.");
    assert_eq!(ended["request"], "r1");
    assert_eq!(
        (&ended["outcome"], &ended["status"]),
        (&"done".into(), &200.into())
    );
    assert_eq!(ended["config_version"], 3);
    let lines = fixture.gateway.log_lines();
    let attempt = lines
        .iter()
        .find(|line| line["msg"] == "request: Attempt ended.");
    assert_eq!(attempt.expect("a line")["target"], "t0");
    let metrics = RawResponse::fetch(
        fixture.gateway.metrics_address,
        "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
    );
    let counted = "verbenahub_gateway_requests{kind=\"idempotent\",outcome=\"done\"} 1";
    assert!(metrics.text().contains(counted), "{}", metrics.text());
}
