//! Tests of streams and the stages that run before them, observed from callers,
//! engines and stage targets.

mod support;

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use support::{
    CallerRequest, GatewayProcess, RawResponse, TEST_TIMEOUT, any_port, config, default_routes,
    default_store, register, route, start_targets, target_record, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, RawServer, ReplyStep, RunLog, StageTarget,
    StoreServer,
};

const EVENTS: u32 = 6;
const PAUSE: Duration = Duration::from_millis(5);
/// Long enough to tell the end of a run at its deadline from an earlier one.
const SILENT_STREAM_TIMEOUT_MS: u32 = 15_000;

/// A gateway with scripted engines.
struct StreamFixture {
    gateway: GatewayProcess,
    log: RunLog,
    engines: Vec<PlainTarget>,
    store: StoreServer,
}

impl StreamFixture {
    fn start<F>(engines: usize, script: F) -> Self
    where
        F: Fn(&RawCall) -> RawReply + Clone + Send + Sync + 'static,
    {
        let store = default_store();
        let log = RunLog::default();
        let engines = start_targets(&store, &log, "pool", "e", engines, script);
        let gateway = GatewayProcess::start_ready("n1", store.address());
        let known = engines.len();
        gateway.wait_log_line(|line| line["targets"] == known);
        Self {
            gateway,
            log,
            engines,
            store,
        }
    }

    fn ask(&self, path: &str, id: &str) -> RawResponse {
        CallerRequest::new("POST", path, id).fetch(self.gateway.caller_address)
    }
}

fn events(id: &str, count: u32) -> String {
    let events: Vec<String> = (0..count)
        .map(|number| format!("id: {number}\ndata: {id} {number}\n\n"))
        .collect();
    events.concat()
}

#[test]
fn stream_reaches_the_caller_whole_and_in_order() {
    let fixture = StreamFixture::start(2, |call: &RawCall| {
        EngineTarget::stream(call, EVENTS, PAUSE).last_chunk()
    });
    for id in ["r1", "r2", "r3"] {
        let answer = fixture.ask("/tell/a", id);
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(answer.text(), events(id, EVENTS));
        assert_eq!(answer.header("Response-Signature"), Some("3e1b.07"));
        assert_eq!(fixture.log.runs_of(id).len(), 1);
    }
}

#[test]
fn broken_stream_that_may_not_go_on_never_looks_complete() {
    for case in ["close", "half an event", "silence at its end"] {
        let fixture = StreamFixture::start(2, move |call: &RawCall| {
            let begun = EngineTarget::stream(call, 3, PAUSE);
            match case {
                "close" => begun.then(ReplyStep::Close),
                "half an event" => begun.chunk(b"id: 3\nda").last_chunk(),
                _ => begun.then(ReplyStep::Silence),
            }
        });
        let mut request = CallerRequest::new("POST", "/tell/a", "r1");
        request.deadline_ms = 800;
        let answer = request.fetch(fixture.gateway.caller_address);
        assert_eq!(answer.status, 200, "{case}");
        assert!(!answer.is_complete, "{case}");
        assert_eq!(answer.text(), events("r1", 3), "{case}");
        assert_eq!(fixture.log.runs_of("r1").len(), 1, "{case}");
    }
}

#[test]
fn resumable_stream_goes_on_at_another_engine_after_its_last_whole_event() {
    for case in ["close", "half an event", "silence"] {
        let log = RunLog::default();
        let seen = log.clone();
        let fixture = StreamFixture::start(2, move |call: &RawCall| {
            seen.record("any", call);
            if seen.runs().len() > 1 {
                return EngineTarget::stream(call, EVENTS, PAUSE).last_chunk();
            }
            let begun = EngineTarget::stream(call, 3, PAUSE);
            match case {
                "close" => begun.then(ReplyStep::Close),
                "half an event" => begun.chunk(b"id: 3\nda").then(ReplyStep::Close),
                _ => begun.then(ReplyStep::Silence),
            }
        });
        let answer = fixture.ask("/resume/a", "r1");
        assert!(answer.is_complete, "{case}");
        assert_eq!(answer.text(), events("r1", EVENTS), "{case}");
        let runs = fixture.log.runs_of("r1");
        assert_eq!(runs.len(), 2, "{case}");
        assert_ne!(runs[0].target, runs[1].target, "{case}");
        assert_eq!(runs[1].call.header("Last-Event-Id"), Some("2"), "{case}");
    }
}

/// A stream that has begun breaks off, and the next engine doesn't continue it.
#[test]
fn next_engines_error_never_ends_up_in_a_stream_that_has_begun() {
    for case in [
        "signed error",
        "error of the type of a stream",
        "refusal",
        "not found",
        "success of another type",
        "stream from its beginning",
        "no signature and no length",
        "stream without a signature",
        "encoded stream",
        "nothing",
    ] {
        let log = RunLog::default();
        let seen = log.clone();
        let fixture = StreamFixture::start(2, move |call: &RawCall| {
            seen.record("any", call);
            if seen.runs().len() == 1 {
                return EngineTarget::stream(call, 3, PAUSE).then(ReplyStep::Close);
            }
            let id = call.header("Attempt-Id").unwrap_or_default();
            let stream_type = [
                ("Attempt-Id", id),
                ("Response-Signature", "s"),
                ("Content-Type", "text/event-stream"),
            ];
            match case {
                "signed error" => PlainTarget::signed(call, "500 Broken", b"id: 3\n\n"),
                "error of the type of a stream" => {
                    RawReply::answer("500 Broken", &stream_type, b"id: 3\ndata: no\n\n")
                }
                "refusal" => PlainTarget::refusal(),
                "not found" => RawReply::answer("404 Not Found", &[], b"id: 3\n\n"),
                "success of another type" => PlainTarget::signed(call, "200 OK", b"id: 3\n\n"),
                "stream from its beginning" => {
                    let mut fresh = call.clone();
                    fresh.headers.retain(|(name, _)| name != "Last-Event-Id");
                    EngineTarget::stream(&fresh, EVENTS, PAUSE).last_chunk()
                }
                "no signature and no length" => {
                    RawReply::send("HTTP/1.1 500 Broken\r\n\r\nid: 3\n\n").then(ReplyStep::Close)
                }
                "stream without a signature" | "encoded stream" => {
                    defective_stream(call, case).last_chunk()
                }
                _ => RawReply::send("").then(ReplyStep::Close),
            }
        });
        let answer = fixture.ask("/resume/a", "r1");
        assert_eq!(answer.status, 200, "{case}");
        assert_eq!(answer.text(), events("r1", 3), "{case}");
        assert!(!answer.is_complete, "{case}");
        assert_eq!(fixture.log.runs_of("r1").len(), 2, "{case}");
    }
}

/// A stream that is not the target's own: its signature is missing, or its body is
/// encoded.
fn defective_stream(call: &RawCall, case: &str) -> RawReply {
    let reply = EngineTarget::stream(call, EVENTS, PAUSE);
    if case != "stream without a signature" {
        return reply.with_header("Content-Encoding", "gzip");
    }
    let id = call.header("Attempt-Id").unwrap_or_default();
    let headers = [("Attempt-Id", id), ("Content-Type", "text/event-stream")];
    let mut unsigned = RawReply::chunked("200 OK", &headers);
    unsigned.steps.extend(reply.steps.into_iter().skip(1));
    unsigned
}

/// Guards against relaying a stream without a signature, or with an encoded body, as a
/// success. The engine may have run the request, and must stop working on it.
#[test]
fn stream_without_signature_or_with_encoding_is_not_relayed() {
    for case in ["stream without a signature", "encoded stream"] {
        let fixture = StreamFixture::start(2, move |call: &RawCall| {
            defective_stream(call, case).then(ReplyStep::Silence)
        });
        let answer = fixture.ask("/tell/a", "r1");
        assert_eq!(answer.status, 502, "{case}");
        assert_eq!(answer.header("Not-Executed"), None, "{case}");
        assert_eq!(fixture.log.runs_of("r1").len(), 1, "{case}");
        wait_for("the end of the work", || {
            let servers = fixture.engines.iter().map(PlainTarget::server);
            servers.map(RawServer::aborted_replies).sum::<usize>() == 1
        });
    }
}

/// Guards against giving up a request that may be repeated after such a response.
#[test]
fn stream_that_may_be_repeated_is_served_by_another_engine_after_a_defective_response() {
    for case in ["stream without a signature", "encoded stream"] {
        let log = RunLog::default();
        let seen = log.clone();
        let fixture = StreamFixture::start(2, move |call: &RawCall| {
            seen.record("any", call);
            if seen.runs().len() == 1 {
                return defective_stream(call, case).last_chunk();
            }
            EngineTarget::stream(call, EVENTS, PAUSE).last_chunk()
        });
        let answer = fixture.ask("/resume/a", "r1");
        assert_eq!((answer.status, answer.is_complete), (200, true), "{case}");
        assert_eq!(answer.text(), events("r1", EVENTS), "{case}");
        assert_eq!(answer.header("Response-Signature"), Some("3e1b.07"));
        assert_eq!(answer.header("Content-Encoding"), None);
        let runs = fixture.log.runs_of("r1");
        assert_eq!(runs.len(), 2, "{case}");
        assert_ne!(runs[0].target, runs[1].target, "{case}");
    }
}

/// Streams without a length or chunks end with their connection.
#[test]
fn stream_without_a_length_is_complete_only_between_events() {
    for (case, end, is_complete) in [
        ("after an event", "", true),
        ("inside an event", "id: 3\nda", false),
        ("inside the empty line", "id: 3\ndata: r1 3\n", false),
    ] {
        let fixture = StreamFixture::start(1, move |call: &RawCall| {
            let id = call.header("Attempt-Id").unwrap_or_default();
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.07\r\n\
                 Content-Type: text/event-stream\r\n\r\n"
            );
            RawReply::send(head + &events(id, 3))
                .then(ReplyStep::Wait(PAUSE))
                .then(ReplyStep::Send(end.as_bytes().to_vec()))
                .then(ReplyStep::Close)
        });
        let answer = fixture.ask("/tell/a", "r1");
        assert_eq!(answer.status, 200, "{case}");
        assert_eq!(answer.text(), events("r1", 3), "{case}");
        assert_eq!(answer.is_complete, is_complete, "{case}");
    }
}

/// A gateway with two engines and a resumable route whose streams are resumed after a
/// silence of 1 s. The engine that is asked first begins the stream and is silent in its
/// middle for `silence`; the other one replies as `second` says.
fn start_silent_stream<F>(silence: Duration, second: F) -> StreamFixture
where
    F: Fn(&RawCall) -> RawReply + Clone + Send + Sync + 'static,
{
    let log = RunLog::default();
    let fixture = StreamFixture::start(2, move |call: &RawCall| {
        log.record("any", call);
        if log.runs().len() > 1 {
            return second(call);
        }
        let mut reply = EngineTarget::stream(call, EVENTS, PAUSE);
        // The head, and a pause and an event for each of the first three events.
        reply.steps.insert(7, ReplyStep::Wait(silence));
        reply.last_chunk()
    });
    let mut resumable = route("resumable", "/resume/", "streaming", "pool", 2);
    resumable["Resumable"] = json!(true);
    resumable["TimeoutMs"] = json!(SILENT_STREAM_TIMEOUT_MS);
    resumable["GoalMs"] = json!(500);
    fixture.store.put("op/config", &config(4, &[resumable]));
    let gateway = &fixture.gateway;
    gateway
        .wait_log_line(|line| line["msg"] == "config: Version in force." && line["version"] == 4);
    fixture
}

/// Guards against two engines that work on one stream. The first engine's connection stayed
/// open until the second one responded, which it may never do.
#[test]
fn silent_engine_is_stopped_although_the_next_ones_response_is_lost() {
    let fixture = start_silent_stream(TEST_TIMEOUT, |_| RawReply::silence());
    let mut request = CallerRequest::new("POST", "/resume/a", "r1");
    request.deadline_ms = SILENT_STREAM_TIMEOUT_MS;
    let caller = request.send(fixture.gateway.caller_address);
    wait_for("the second engine", || fixture.log.runs_of("r1").len() == 2);
    let resumed_at = Instant::now();
    let runs = fixture.log.runs_of("r1");
    let aborted_replies = |run: usize| {
        let engine = fixture
            .engines
            .iter()
            .find(|engine| engine.id() == runs[run].target);
        engine.expect("an engine").server().aborted_replies()
    };
    wait_for("the end of the first run", || aborted_replies(0) == 1);
    assert!(resumed_at.elapsed() < Duration::from_millis(u64::from(SILENT_STREAM_TIMEOUT_MS) / 4));
    assert_eq!(aborted_replies(1), 0, "the second engine works on");
    drop(caller);
}

/// Guards against giving up a sound engine that is silent for a while, for one that takes
/// no more requests.
#[test]
fn silent_stream_is_kept_if_no_other_engine_accepts_it() {
    let fixture = start_silent_stream(Duration::from_secs(2), |_| PlainTarget::refusal());
    let answer = fixture.ask("/resume/a", "r1");
    assert!(answer.is_complete);
    assert_eq!(answer.text(), events("r1", EVENTS));
    assert_eq!(fixture.log.runs_of("r1").len(), 2, "one of them refused");
}

#[test]
fn resumable_stream_goes_on_no_more_often_than_its_route_allows() {
    let fixture = StreamFixture::start(3, |call: &RawCall| {
        EngineTarget::stream(call, 2, PAUSE).then(ReplyStep::Close)
    });
    let answer = fixture.ask("/resume/a", "r1");
    assert!(!answer.is_complete);
    assert_eq!(fixture.log.runs_of("r1").len(), 2);
}

/// The id of the last event becomes a header of the next request, where a control
/// character could end it.
#[test]
fn stream_whose_last_event_has_an_odd_id_is_not_resumed() {
    for id in ["0\rHold: 1", "0\u{0}", "0\u{1}", "0\u{7f}"] {
        let fixture = StreamFixture::start(2, move |call: &RawCall| {
            let event = format!("id: {id}\ndata: a\n\n");
            EngineTarget::head(call)
                .chunk(event.as_bytes())
                .then(ReplyStep::Close)
        });
        let answer = fixture.ask("/resume/a", "r1");
        assert!(!answer.is_complete, "{id:?}");
        fixture
            .gateway
            .wait_log_line(|line| line["msg"] == "request: Ended.");
        let lines = fixture.gateway.log_lines();
        let attempts = lines
            .iter()
            .filter(|line| line["msg"] == "request: Attempt ended.");
        assert_eq!(attempts.count(), 1, "{id:?}");
    }
}

#[test]
fn stream_passes_event_by_event() {
    let fixture = StreamFixture::start(1, |call: &RawCall| {
        EngineTarget::stream(call, 2, PAUSE).then(ReplyStep::Silence)
    });
    let mut stream =
        CallerRequest::new("POST", "/tell/a", "r1").send(fixture.gateway.caller_address);
    // The engine sends nothing more, so the events must be relayed before the
    // stream ends.
    let mut seen = Vec::new();
    while !String::from_utf8_lossy(&seen).contains("r1 1\n\n") {
        let mut byte = [0];
        std::io::Read::read_exact(&mut stream, &mut byte).expect("the events");
        seen.push(byte[0]);
    }
    drop(stream);
    let server = fixture.engines[0].server();
    wait_for("the end of the work", || server.aborted_replies() == 1);
}

#[test]
fn requests_with_the_same_prompt_go_to_the_same_engine() {
    let fixture = StreamFixture::start(5, |call: &RawCall| {
        EngineTarget::stream(call, 1, PAUSE).last_chunk()
    });
    let engines_of = |part: &str| -> BTreeSet<String> {
        let engines = (0..6).map(|number| {
            let id = format!("{part}-{number}");
            let prompt = format!("aa:100,{part}:200,{number:x}:50");
            let request = CallerRequest::new("POST", "/tell/a", &id);
            request
                .with_header("Prompt-Prefix", &prompt)
                .fetch(fixture.gateway.caller_address);
            fixture.log.runs_of(&id)[0].target.clone()
        });
        engines.collect()
    };
    let all: BTreeSet<String> = (0..8)
        .flat_map(|part| {
            let engines = engines_of(&format!("{part:x}c"));
            assert_eq!(engines.len(), 1, "one prompt, one engine");
            engines
        })
        .collect();
    assert!(all.len() > 1, "other prompts, other engines");
}

/// Gateways with four stage targets and an engine. Of the three stages of the
/// route, stage 1 needs the results of stage 0; stage 2 is independent.
struct StageFixture {
    gateways: Vec<GatewayProcess>,
    log: RunLog,
    stages: Vec<StageTarget>,
    _engine: PlainTarget,
    store: StoreServer,
}

impl StageFixture {
    fn start(gateways: usize, call_time: Duration) -> Self {
        let store = default_store();
        let mut staged = route("staged", "/staged/", "streaming", "pool", 1);
        staged["Stages"] = json!([
            { "Service": "stage-a", "After": [], "Bytes": 1000 },
            { "Service": "stage-b", "After": [0], "Bytes": 1000 },
            { "Service": "stage-a", "After": [], "Bytes": 1000 }
        ]);
        let mut routes = default_routes();
        routes.push(staged);
        store.put("op/config", &config(4, &routes));
        let log = RunLog::default();
        let engine = EngineTarget::start(any_port(), "e0", &log, EVENTS, PAUSE);
        let engine = engine.expect("an engine");
        register(&store, "e0", "pool", engine.server().address());
        let services = ["stage-a", "stage-b", "stage-a", "stage-b"];
        let targets: Vec<StageTarget> = services
            .iter()
            .enumerate()
            .map(|(number, service)| {
                let id = format!("s{number}");
                let stage = StageTarget::start(any_port(), &id, call_time).expect("a stage");
                register(&store, &id, service, stage.server().address());
                stage
            })
            .collect();
        let mut processes: Vec<GatewayProcess> = Vec::new();
        for number in 0..gateways {
            let seeds: Vec<_> = processes
                .iter()
                .map(|process| process.peer_address)
                .collect();
            let name = format!("n{number}");
            processes.push(GatewayProcess::start(&name, store.address(), &seeds));
        }
        for process in &processes {
            process.wait_ready();
            process.wait_log_line(|line| line["targets"] == 5);
        }
        Self {
            gateways: processes,
            log,
            stages: targets,
            _engine: engine,
            store,
        }
    }

    /// Waits until every gateway lists all gateways as members.
    fn wait_fleet(&self) {
        for gateway in &self.gateways {
            gateway.wait_member_count(self.gateways.len());
        }
    }

    fn made(&self) -> Vec<Value> {
        self.stages
            .iter()
            .flat_map(StageTarget::requested_pieces)
            .collect()
    }

    fn held(&self) -> usize {
        self.stages.iter().map(StageTarget::held_results).sum()
    }
}

fn staged(id: &str, pieces: &str) -> CallerRequest {
    let request = CallerRequest::new("POST", "/staged/a", id);
    request
        .with_header("Pieces", pieces)
        .with_header("Piece-Key", "secret-key")
}

#[test]
fn stages_run_in_their_order_and_the_engine_gets_all_final_results() {
    let fixture = StageFixture::start(1, Duration::from_millis(20));
    let answer = staged("r1", "2,3,1").fetch(fixture.gateways[0].caller_address);
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.text(), events("r1", EVENTS));
    let made = fixture.made();
    let of =
        |stage: u32| -> Vec<&Value> { made.iter().filter(|item| item["Stage"] == stage).collect() };
    assert_eq!((of(0).len(), of(1).len(), of(2).len()), (2, 3, 1));
    for item in of(0).into_iter().chain(of(2)) {
        assert_eq!(
            (&item["Key"], &item["Inputs"]),
            (&json!("secret-key"), &Value::Null)
        );
    }
    for item in of(1) {
        assert_eq!(item["Inputs"].as_array().map(Vec::len), Some(2));
        assert_eq!(item["Key"], Value::Null);
    }
    let run = fixture.log.runs_of("r1").remove(0).call;
    let inputs: BTreeSet<&str> = run.header("Inputs").expect("inputs").split(',').collect();
    assert_eq!(
        inputs.len(),
        4,
        "three pieces of stage 1 and one of stage 2"
    );
    wait_for("results to be freed", || fixture.held() == 0);
}

#[test]
fn stage_without_pieces_is_left_out() {
    let fixture = StageFixture::start(1, Duration::from_millis(5));
    let answer = staged("r1", "1,1,0").fetch(fixture.gateways[0].caller_address);
    assert!(answer.is_complete);
    assert_eq!(fixture.made().len(), 2);
    let run = fixture.log.runs_of("r1").remove(0).call;
    assert_eq!(run.header("Inputs").expect("inputs").split(',').count(), 1);
    for pieces in ["1", "1,1,1,1", "x,1,1"] {
        assert_eq!(
            staged("r2", pieces)
                .fetch(fixture.gateways[0].caller_address)
                .status,
            400
        );
    }
}

#[test]
fn pieces_of_requests_at_different_nodes_share_calls() {
    let fixture = StageFixture::start(3, Duration::from_millis(150));
    fixture.wait_fleet();
    let callers: Vec<_> = (0..24)
        .map(|number| {
            let front = fixture.gateways[number % 3].caller_address;
            thread::spawn(move || {
                let id = format!("r{number}");
                let answer = staged(&id, "1,1,0").fetch(front);
                assert!(answer.is_complete, "{id}: {}", answer.status);
                assert_eq!(answer.text(), events(&id, EVENTS));
            })
        })
        .collect();
    for caller in callers {
        caller.join().expect("a whole answer");
    }
    let made = fixture.made();
    assert_eq!(made.len(), 48, "no piece is made twice");
    let calls: usize = fixture.stages.iter().map(StageTarget::call_count).sum();
    assert!(calls <= 24, "{calls} calls for 48 pieces");
    wait_for("results to be freed", || fixture.held() == 0);
}

#[test]
fn collector_that_stops_hands_over_what_waits_and_calls_no_more() {
    let fixture = StageFixture::start(3, Duration::from_millis(300));
    fixture.wait_fleet();
    let collects = |gateway: &&GatewayProcess| {
        let lines = gateway.log_lines();
        let mut queued = lines
            .iter()
            .filter(|line| line["msg"] == "stage: Set queued.");
        queued.any(|line| line["service"] == "stage-a")
    };
    assert!(
        staged("first", "1,1,0")
            .fetch(fixture.gateways[0].caller_address)
            .is_complete
    );
    let collector = fixture.gateways.iter().find(collects);
    let collector = collector.expect("a collector");
    let fronts: Vec<_> = fixture
        .gateways
        .iter()
        .map(|gateway| gateway.caller_address)
        .collect();
    let callers: Vec<_> = (0..40)
        .map(|number| {
            let front = fronts[number % 3];
            thread::spawn(move || staged(&format!("r{number}"), "4,1,0").fetch(front))
        })
        .collect();
    let waits = |line: &Value| {
        line["msg"] == "stage: Set queued." && line["waiting_pieces"].as_u64() > Some(20)
    };
    collector.wait_log_line(waits);
    collector.signal(rustix::process::Signal::TERM);
    collector.wait_log_line(|line| line["msg"] == "stage: Sets handed over.");
    for caller in callers {
        let answer = caller.join().expect("an answer");
        assert!(answer.is_complete, "{}", answer.status);
    }
}

#[test]
fn node_that_starts_beside_a_seed_leaves_reading_to_it() {
    let store = default_store();
    let target = PlainTarget::start(any_port(), "t0", &RunLog::default(), |call: &RawCall| {
        PlainTarget::signed(call, "200 OK", b"done")
    });
    let target = target.expect("a target");
    register(&store, "t0", "desk", target.server().address());
    let seed = GatewayProcess::start_ready("n0", store.address());
    let others: Vec<_> = (1..5)
        .map(|number| {
            GatewayProcess::start(&format!("n{number}"), store.address(), &[seed.peer_address])
        })
        .collect();
    for other in &others {
        other.wait_ready();
        // The test may read the line later than the gateway is seen to be ready.
        let is_configured = |line: &Value| line["msg"] == "config: Version in force.";
        other.wait_log_line(is_configured);
        let lines = other.log_lines();
        let mut before = lines.iter().take_while(|line| !is_configured(line));
        assert!(before.all(|line| line["msg"] != "news: Reads the store."));
    }
}

#[test]
fn request_whose_stages_have_no_time_is_refused_at_once_and_begins_nothing() {
    let fixture = StageFixture::start(1, Duration::from_millis(20));
    let mut request = staged("r1", "2,3,1");
    request.deadline_ms = 100;
    let answer = request.fetch(fixture.gateways[0].caller_address);
    assert_eq!(answer.status, 503);
    assert!(answer.header("Retry-After").is_some());
    assert_eq!(fixture.made(), Vec::<Value>::new());
    assert_eq!(fixture.log.runs(), []);
}

#[test]
fn caller_that_leaves_during_the_stages_leaves_nothing_behind() {
    let fixture = StageFixture::start(1, Duration::from_millis(300));
    let stream = staged("r1", "2,2,1").send(fixture.gateways[0].caller_address);
    wait_for("the first stage", || !fixture.made().is_empty());
    drop(stream);
    let line = fixture.gateways[0].wait_log_line(|line| line["msg"] == "request: Ended.");
    assert_eq!(line["outcome"], "caller_gone");
    wait_for("results to be freed", || {
        let calls: usize = fixture.stages.iter().map(StageTarget::call_count).sum();
        calls > 0 && fixture.held() == 0
    });
    assert!(fixture.made().iter().all(|item| item["Stage"] != 1));
    assert_eq!(fixture.log.runs(), []);
}

#[test]
fn extra_answer_of_a_stage_is_not_taken_for_the_next_calls() {
    let mut fixture = StageFixture::start(1, Duration::from_millis(5));
    let span = Duration::from_millis(60);
    let doubling =
        StageTarget::start_with_duplicate_replies(any_port(), "s9", Duration::ZERO, span);
    let doubling = doubling.expect("a stage");
    for id in ["s0", "s2"] {
        fixture.store.remove(&format!("servers/{id}"));
    }
    register(&fixture.store, "s9", "stage-a", doubling.server().address());
    let known = |gateway: &GatewayProcess| {
        let lines = gateway.log_lines();
        let last = lines
            .iter()
            .rfind(|line| line["msg"] == "targets: Changed.");
        last.is_some_and(|line| line["targets"] == 4)
    };
    wait_for("the change of targets", || known(&fixture.gateways[0]));
    fixture.stages.push(doubling);
    // A request may fail, but must never get the results of another request.
    let front = fixture.gateways[0].caller_address;
    let callers: Vec<_> = (0..40)
        .map(|number| {
            thread::sleep(Duration::from_millis(4));
            thread::spawn(move || staged(&format!("r{number}"), "1,1,0").fetch(front))
        })
        .collect();
    for caller in callers {
        caller.join().expect("an answer");
    }
    assert_foreign_inputs_are_absent(&fixture);
}

/// Guards against results of other requests as inputs. A refusal that comes twice on a
/// kept connection was taken for the refusal of the next call, and the connection kept,
/// so that each later call on it got the results of the call before.
#[test]
fn refusal_of_a_stage_that_comes_twice_shifts_no_results() {
    let mut fixture = StageFixture::start(1, Duration::from_millis(5));
    // Longer than the pauses of a target that refuses two calls in a row (60 and 120 ms),
    // so that the connection looks idle when it is used again, and shorter than the
    // timeout of a call (430 ms).
    let span = Duration::from_millis(300);
    let doubling = StageTarget::start_with_duplicate_refusal(any_port(), "s9", span, 2);
    let doubling = doubling.expect("a stage");
    for id in ["s0", "s2"] {
        fixture.store.remove(&format!("servers/{id}"));
    }
    // With one slot, all its calls use the same connection.
    let mut record = target_record("stage-a", doubling.server().address());
    record["Slots"] = json!(1);
    fixture.store.put("servers/s9", &record);
    let known = |gateway: &GatewayProcess| {
        let lines = gateway.log_lines();
        let last = lines
            .iter()
            .rfind(|line| line["msg"] == "targets: Changed.");
        last.is_some_and(|line| line["targets"] == 4)
    };
    wait_for("the change of targets", || known(&fixture.gateways[0]));
    fixture.stages.push(doubling);
    let front = fixture.gateways[0].caller_address;
    // Each request fills one call. The requests overlap, so that the connection is never
    // idle for long.
    let callers: Vec<_> = (0..8)
        .map(|number| {
            thread::sleep(span);
            thread::spawn(move || staged(&format!("r{number}"), "10,1,0").fetch(front))
        })
        .collect();
    for caller in callers {
        let answer = caller.join().expect("an answer");
        assert!(answer.is_complete, "{}", answer.status);
    }
    assert_foreign_inputs_are_absent(&fixture);
}

/// Checks that all inputs of the second stage were made for the same request.
fn assert_foreign_inputs_are_absent(fixture: &StageFixture) {
    let results: Vec<(Value, String)> = fixture
        .stages
        .iter()
        .flat_map(StageTarget::results)
        .collect();
    let second = results.iter().filter(|(item, _)| item["Stage"] == 1);
    for (item, _) in second {
        for input in item["Inputs"].as_array().expect("inputs") {
            let maker = results.iter().find(|(_, name)| name == input);
            assert_eq!(maker.expect("its maker").0["Id"], item["Id"]);
        }
    }
}

#[test]
fn stage_target_that_is_gone_is_passed_over() {
    let mut fixture = StageFixture::start(1, Duration::from_millis(20));
    // The first of the two targets of stage-a stops without deregistering.
    drop(fixture.stages.remove(0));
    for number in 0..4 {
        let answer =
            staged(&format!("r{number}"), "1,1,1").fetch(fixture.gateways[0].caller_address);
        assert!(answer.is_complete, "{}", answer.status);
    }
    fixture.store.remove("servers/s0");
    fixture.gateways[0].wait_log_line(|line| line["targets"] == 4);
}
