//! Staged streams that resume on another engine, and when the stage results that
//! engines read are freed.

mod support;

use std::{collections::BTreeSet, thread, time::Duration};

use serde_json::json;
use support::{
    CallerRequest, GatewayProcess, any_port, config, default_routes, default_store, register,
    route, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, ReplyStep, RunLog, StageTarget, StoreServer,
};

const EVENTS: u32 = 6;
/// Events that the first engine sends before it stops.
const FIRST_EVENTS: u32 = 3;
const PAUSE: Duration = Duration::from_millis(5);

/// A gateway with a stage and two engines. The engine that is asked first stops
/// in the middle of its stream.
struct ResumeFixture {
    gateway: GatewayProcess,
    log: RunLog,
    stage: StageTarget,
    _engines: Vec<PlainTarget>,
    _store: StoreServer,
}

impl ResumeFixture {
    fn start() -> Self {
        Self::start_with(|call| {
            EngineTarget::stream(call, FIRST_EVENTS, PAUSE).then(ReplyStep::Close)
        })
    }

    fn start_with<F>(first: F) -> Self
    where
        F: Fn(&RawCall) -> RawReply + Clone + Send + Sync + 'static,
    {
        let store = default_store();
        let mut staged = route("staged", "/staged/", "streaming", "pool", 2);
        staged["Stages"] = json!([
            { "Service": "stage-a", "After": [], "Bytes": 1000 },
        ]);
        staged["Resumable"] = json!(true);
        let mut routes = default_routes();
        routes.push(staged);
        store.put("op/config", &config(4, &routes));
        let log = RunLog::default();
        let engines = ["e0", "e1"].map(|id| {
            let (engine_log, first) = (log.clone(), first.clone());
            let engine = PlainTarget::start(any_port(), id, &RunLog::default(), move |call| {
                engine_log.record("any", call);
                if engine_log.runs().len() > 1 {
                    return EngineTarget::stream(call, EVENTS, PAUSE).last_chunk();
                }
                first(call)
            });
            let engine = engine.expect("an engine");
            register(&store, id, "pool", engine.server().address());
            engine
        });
        let stage = StageTarget::start(any_port(), "s0", PAUSE).expect("a stage");
        register(&store, "s0", "stage-a", stage.server().address());
        let gateway = GatewayProcess::start_ready("n1", store.address());
        gateway.wait_log_line(|line| line["targets"] == 3);
        Self {
            gateway,
            log,
            stage,
            _engines: engines.into(),
            _store: store,
        }
    }

    /// Input names of each engine run.
    fn inputs(&self) -> Vec<BTreeSet<String>> {
        let runs = self.log.runs();
        let inputs = runs.iter().map(|run| {
            let names = run.call.header("Inputs").expect("inputs");
            names.split(',').map(str::to_owned).collect()
        });
        inputs.collect()
    }
}

fn staged_request(pieces: &str) -> CallerRequest {
    let request = CallerRequest::new("POST", "/staged/a", "r1");
    request
        .with_header("Pieces", pieces)
        .with_header("Piece-Key", "secret")
}

fn complete_stream() -> String {
    let events = (0..EVENTS).map(|number| format!("id: {number}\ndata: r1 {number}\n\n"));
    events.collect()
}

#[test]
fn resumed_stream_has_its_inputs_computed_again() {
    let fixture = ResumeFixture::start();
    let answer = staged_request("6").fetch(fixture.gateway.caller_address);
    assert!(answer.is_complete, "{}", answer.status);
    assert_eq!(answer.text(), complete_stream());
    let inputs = fixture.inputs();
    assert_eq!(inputs.len(), 2, "two engines");
    assert_eq!((inputs[0].len(), inputs[1].len()), (6, 6));
    assert!(inputs[0].is_disjoint(&inputs[1]), "{inputs:?}");
    assert_eq!(
        fixture.stage.requested_pieces().len(),
        12,
        "all pieces are computed again"
    );
    wait_for("results to be freed", || fixture.stage.held_results() == 0);
}

#[test]
fn results_of_a_resumable_stream_are_freed_with_its_first_event() {
    let fixture = ResumeFixture::start_with(|call| {
        EngineTarget::stream(call, FIRST_EVENTS, PAUSE).then(ReplyStep::Silence)
    });
    let caller_address = fixture.gateway.caller_address;
    let caller = thread::spawn(move || staged_request("2").fetch(caller_address));
    wait_for("results to be freed during the stream", || {
        let has_started =
            fixture.log.runs().len() == 1 && fixture.stage.requested_pieces().len() == 2;
        has_started && fixture.stage.held_results() == 0 && !caller.is_finished()
    });
    let answer = caller.join().expect("an answer");
    assert!(answer.is_complete, "{}", answer.status);
    assert_eq!(answer.text(), complete_stream());
}
