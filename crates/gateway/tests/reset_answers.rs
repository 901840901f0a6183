//! Answers without a length whose connection is reset. None may reach a caller as a
//! complete success, whoever was told of the reset first.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{
    CallerRequest, GatewayProcess, any_port, config, default_routes, default_store, register,
    start_targets,
};
use verbenahub_platform_standin::{
    PlainTarget, RawCall, RawReply, RawServer, ReplyStep, RunLog, StoreServer,
};

/// Size of a request body that does not fit into the buffers of a connection.
const LONG_BODY_BYTES: usize = 16 << 20;
/// Lets the first bytes of a reply arrive before the connection is reset.
const RESET_DELAY: Duration = Duration::from_millis(100);
/// Part of a body.
const PART: &str = "first part";
/// Complete events of a stream.
const EVENTS: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";

/// A store whose configuration allows long request bodies.
fn long_body_store() -> StoreServer {
    let store = default_store();
    let mut long = config(4, &default_routes());
    long["Limits"]["MaxBodyBytes"] = json!(2 * LONG_BODY_BYTES);
    store.put("op/config", &long);
    store
}

fn long_request(path: &str, id: &str) -> CallerRequest {
    let mut request = CallerRequest::new("POST", path, id);
    request.body = vec![b'x'; LONG_BODY_BYTES];
    request
}

/// A signed success without a length whose connection is reset after `part`.
fn reset_reply(call: &RawCall, version: &str, content_type: &str, part: &str) -> RawReply {
    let id = call.header("Attempt-Id").unwrap_or_default();
    RawReply::send(format!(
        "{version} 200 OK\r\nResponse-Signature: 3e1b.07\r\nAttempt-Id: {id}\r\n\
         Content-Type: {content_type}\r\n\r\n{part}"
    ))
    .then(ReplyStep::Wait(RESET_DELAY))
    .then(ReplyStep::Reset)
}

/// Starts targets of `service` that reply before they have read the body of a request.
/// The script gets each call and the number of runs so far, including this one.
fn start_early_targets<F>(
    store: &StoreServer,
    log: &RunLog,
    service: &str,
    count: usize,
    script: F,
) -> Vec<RawServer>
where
    F: Fn(&RawCall, usize) -> RawReply + Clone + Send + Sync + 'static,
{
    let servers = (0..count).map(|index| {
        let (id, log, script) = (format!("t{index}"), log.clone(), script.clone());
        let key = id.clone();
        let server = RawServer::start_early(any_port(), move |call| {
            log.record(&id, call);
            script(call, log.runs().len())
        });
        let server = server.expect("the target starts");
        register(store, &key, service, server.address());
        server
    });
    servers.collect()
}

/// Guards against a part of a body that looks complete, because the write that fails
/// is told of the reset and the read after it is not.
#[test]
fn answer_that_is_reset_during_the_upload_is_no_success() {
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        for (path, service, content_type, part) in [
            ("/book/a", "desk", "text/plain", PART),
            ("/look/a", "desk", "text/plain", PART),
            ("/tell/a", "pool", "text/event-stream", EVENTS),
            ("/resume/a", "pool", "text/event-stream", EVENTS),
        ] {
            let store = long_body_store();
            let log = RunLog::default();
            let _servers = start_early_targets(&store, &log, service, 1, move |call, _| {
                reset_reply(call, version, content_type, part)
            });
            let gateway = GatewayProcess::start_ready("n1", store.address());
            gateway.wait_log_line(|line| line["targets"] == 1);
            let response = long_request(path, "r1").fetch(gateway.caller_address);
            let is_success = response.status < 300 && response.is_complete;
            let text = response.text();
            assert!(!is_success, "{version} {path}: {}{text}", response.head);
            assert!(!log.runs_of("r1").is_empty(), "{version} {path}");
        }
    }
}

#[test]
fn request_whose_answer_is_reset_during_the_upload_goes_on_at_another_target() {
    let store = long_body_store();
    let log = RunLog::default();
    let servers = start_early_targets(&store, &log, "desk", 2, |call, runs| {
        if runs == 1 {
            reset_reply(call, "HTTP/1.1", "text/plain", PART)
        } else {
            PlainTarget::signed(call, "200 OK", b"whole")
        }
    });
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == servers.len());
    let response = long_request("/look/a", "r1").fetch(gateway.caller_address);
    assert_eq!((response.status, response.text().as_str()), (200, "whole"));
    assert_eq!(log.runs_of("r1").len(), 2);
}

/// The answer says how long it is, so the reset that follows cuts nothing.
#[test]
fn answer_with_a_length_that_is_complete_before_the_reset_reaches_the_caller() {
    let store = long_body_store();
    let log = RunLog::default();
    let servers = start_early_targets(&store, &log, "desk", 1, |call, _| {
        PlainTarget::signed(call, "200 OK", b"whole")
            .then(ReplyStep::Wait(RESET_DELAY))
            .then(ReplyStep::Reset)
    });
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == servers.len());
    let response = long_request("/book/a", "r1").fetch(gateway.caller_address);
    assert_eq!((response.status, response.text().as_str()), (200, "whole"));
}

/// The request is written completely before the connection is reset.
#[test]
fn answer_that_is_reset_after_the_upload_is_no_success() {
    let store = default_store();
    let log = RunLog::default();
    let _targets = start_targets(&store, &log, "desk", "t", 1, |call: &RawCall| {
        reset_reply(call, "HTTP/1.1", "text/plain", PART)
    });
    let gateway = GatewayProcess::start_ready("n1", store.address());
    gateway.wait_log_line(|line| line["targets"] == 1);
    let response = CallerRequest::new("POST", "/book/a", "r1").fetch(gateway.caller_address);
    assert_eq!(response.status, 502);
}
