//! Staged streams that go on at another engine, and what becomes of the results
//! that engines read.

mod support;

use std::{collections::BTreeSet, thread, time::Duration};

use serde_json::json;
use support::{
    CallerRequest, GatewayProcess, any_port, config, default_routes, default_store, register,
    route, wait_for,
};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, RawReply, ReplyPart, RunLog, StageTarget, StoreServer,
};

const EVENTS: u32 = 6;
/// Events before the first engine breaks off.
const FIRST_EVENTS: u32 = 3;
const PAUSE: Duration = Duration::from_millis(5);

/// A gateway before a stage and two engines, of which the one that is asked
/// first breaks off.
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
            EngineTarget::stream(call, FIRST_EVENTS, PAUSE).then(ReplyPart::Close)
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
            let (seen, first) = (log.clone(), first.clone());
            let engine = PlainTarget::start(any_port(), id, &RunLog::default(), move |call| {
                seen.note("any", call);
                if seen.runs().len() > 1 {
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

    /// The inputs that each run was given.
    fn inputs(&self) -> Vec<BTreeSet<String>> {
        let runs = self.log.runs();
        let inputs = runs.iter().map(|run| {
            let names = run.call.header("Inputs").expect("inputs");
            names.split(',').map(str::to_owned).collect()
        });
        inputs.collect()
    }
}

fn staged(pieces: &str) -> CallerRequest {
    let request = CallerRequest::new("POST", "/staged/a", "r1");
    request
        .with_header("Pieces", pieces)
        .with_header("Piece-Key", "secret")
}

fn whole_stream() -> String {
    let events = (0..EVENTS).map(|number| format!("id: {number}\ndata: r1 {number}\n\n"));
    events.collect()
}

#[test]
fn stream_that_goes_on_has_its_inputs_made_anew() {
    let fixture = ResumeFixture::start();
    let answer = staged("6").fetch(fixture.gateway.caller_address);
    assert!(answer.is_complete, "{}", answer.status);
    assert_eq!(answer.text(), whole_stream());
    let inputs = fixture.inputs();
    assert_eq!(inputs.len(), 2, "two engines");
    assert_eq!((inputs[0].len(), inputs[1].len()), (6, 6));
    assert!(inputs[0].is_disjoint(&inputs[1]), "{inputs:?}");
    assert_eq!(fixture.stage.made().len(), 12, "all pieces are made again");
    wait_for("results to be freed", || fixture.stage.held() == 0);
}

#[test]
fn results_are_freed_with_the_first_event_of_a_stream_that_may_go_on() {
    let fixture = ResumeFixture::start_with(|call| {
        EngineTarget::stream(call, FIRST_EVENTS, PAUSE).then(ReplyPart::Silence)
    });
    let front = fixture.gateway.caller_address;
    let caller = thread::spawn(move || staged("2").fetch(front));
    wait_for("results to be freed during the stream", || {
        let has_begun = fixture.log.runs().len() == 1 && fixture.stage.made().len() == 2;
        has_begun && fixture.stage.held() == 0 && !caller.is_finished()
    });
    let answer = caller.join().expect("an answer");
    assert!(answer.is_complete, "{}", answer.status);
    assert_eq!(answer.text(), whole_stream());
}
