//! One node chooses engines for the prompts of all.

mod support;

use std::{thread, time::Duration};

use support::{CallerRequest, GatewayProcess, any_port, register, usual_store};
use verbenahub_platform_standin::{
    EngineTarget, PlainTarget, RawCall, ReplyPart, RunLog, StoreServer,
};

/// Time in which an engine reads the long prompt.
const LONG_READ: Duration = Duration::from_millis(1_500);
const PAUSE: Duration = Duration::from_millis(5);
const GATEWAYS: usize = 3;

/// Gateways before two engines. The request `long` is read for a while.
struct ChoiceFixture {
    gateways: Vec<GatewayProcess>,
    log: RunLog,
    _engines: Vec<PlainTarget>,
    _store: StoreServer,
}

impl ChoiceFixture {
    fn start() -> Self {
        let store = usual_store();
        let log = RunLog::default();
        let engines = ["e0", "e1"].map(|id| {
            let engine = PlainTarget::start(any_port(), id, &log, |call: &RawCall| {
                let mut reply = EngineTarget::stream(call, 2, PAUSE).last_chunk();
                if call.header("Attempt-Id") == Some("long") {
                    reply.parts.insert(0, ReplyPart::Wait(LONG_READ));
                }
                reply
            });
            let engine = engine.expect("an engine");
            register(&store, id, "pool", engine.server().address());
            engine
        });
        let gateways = GatewayProcess::start_fleet(GATEWAYS, store.address());
        for gateway in &gateways {
            gateway.wait_line(|line| line["targets"] == 2);
        }
        Self {
            gateways,
            log,
            _engines: engines.into(),
            _store: store,
        }
    }

    fn engine_of(&self, request: &str) -> Option<String> {
        let runs = self.log.runs_of(request);
        runs.first().map(|run| run.target.clone())
    }
}

fn prompt(id: &str, parts: &str) -> CallerRequest {
    CallerRequest::new("POST", "/tell/a", id).with("Prompt-Prefix", parts)
}

#[test]
fn prompts_of_other_nodes_go_to_the_engine_that_has_less_to_read() {
    let fixture = ChoiceFixture::start();
    let front = fixture.gateways[0].front;
    let long = thread::spawn(move || prompt("long", "aa:1000,bb:60000").ask(front));
    support::wait_for("the long prompt", || fixture.engine_of("long").is_some());
    let busy = fixture.engine_of("long");
    for number in 0..12 {
        let id = format!("r{number}");
        let parts = format!("{number:x}c:200,{number:x}d:50");
        let answer = prompt(&id, &parts).ask(fixture.gateways[number % GATEWAYS].front);
        assert!(answer.is_whole, "{}", answer.status);
        assert!(!long.is_finished(), "the long prompt is still being read");
        assert_ne!(fixture.engine_of(&id), busy, "{id}");
    }
    assert!(long.join().expect("an answer").is_whole);
}

#[test]
fn prompts_are_served_when_the_node_that_chooses_is_gone() {
    let mut fixture = ChoiceFixture::start();
    // One of them was the one that chooses.
    for left in (0..GATEWAYS).rev() {
        for number in 0..4 {
            let id = format!("r{left}-{number}");
            let answer = prompt(&id, "aa:1000,bb:50").ask(fixture.gateways[0].front);
            assert!(answer.is_whole, "{id}: {}", answer.status);
        }
        if left > 0 {
            drop(fixture.gateways.remove(left));
        }
    }
}
