//! Answers of stage targets that arrive a second time, before the answer to another
//! call on the same connection.

mod support;

use std::{collections::BTreeSet, thread, time::Duration};

use serde_json::{Value, json};
use support::{
    CallerRequest, GatewayProcess, any_port, config, default_routes, default_store, register,
    route, target_record,
};
use verbenahub_platform_standin::{EngineTarget, PlainTarget, RunLog, StageTarget, StoreServer};

/// Pieces of the requests whose answer may be mistaken for the copy.
const FEW_PIECES: usize = 3;
/// Pieces of the requests between the answer and its copy.
const MANY_PIECES: usize = 700;
/// Requests within which a call comes on the connection of the first one.
const MAX_CALLS: usize = 40;

/// Duration of a call to the stage target.
const CALL_TIME: Duration = Duration::from_millis(5);
/// Pause between two requests, in which the results of the first one are freed.
const FREE_PAUSE: Duration = Duration::from_millis(40);

/// Returns a configuration with a route of one stage, which takes `MANY_PIECES` pieces
/// in one short call.
fn staged_config() -> Value {
    let mut staged = route("staged", "/staged/", "streaming", "pool", 1);
    staged["Stages"] = json!([{ "Service": "stage-a", "After": [], "Bytes": 100 }]);
    let mut routes = default_routes();
    routes.push(staged);
    let mut config = config(4, &routes);
    for service in config["Services"].as_array_mut().expect("services") {
        if service["Name"] == "stage-a" {
            service["Pieces"]["Batch"] = json!(MANY_PIECES);
            service["Pieces"]["ItemMs"] = json!(0.01);
        }
    }
    config
}

/// Gateway, engine and one stage target with one slot, whose calls all use the same
/// connection.
struct CopyFixture {
    gateway: GatewayProcess,
    stage: StageTarget,
    log: RunLog,
    _engine: PlainTarget,
    _store: StoreServer,
}

impl CopyFixture {
    fn start(stage: StageTarget) -> Self {
        let store = default_store();
        store.put("op/config", &staged_config());
        let log = RunLog::default();
        let engine = EngineTarget::start(any_port(), "e0", &log, 2, Duration::ZERO);
        let engine = engine.expect("an engine");
        register(&store, "e0", "pool", engine.server().address());
        let mut record = target_record("stage-a", stage.server().address());
        record["Slots"] = json!(1);
        store.put(&format!("servers/{}", stage.id()), &record);
        let gateway = GatewayProcess::start_ready("n1", store.address());
        gateway.wait_log_line(|line| line["targets"] == 2);
        Self {
            gateway,
            stage,
            log,
            _engine: engine,
            _store: store,
        }
    }

    /// Sends a request and returns the requests that its inputs were made for.
    fn fetch_input_owners(&self, id: &str, pieces: usize) -> BTreeSet<String> {
        let request = CallerRequest::new("POST", "/staged/a", id)
            .with_header("Pieces", &pieces.to_string())
            .with_header("Piece-Key", "secret-key");
        let answer = request.fetch(self.gateway.caller_address);
        assert!(answer.is_complete, "{id}: {}", answer.status);
        let runs = self.log.runs_of(id);
        let inputs = runs[0].call.header("Inputs").expect("inputs");
        let results = self.stage.results();
        let owners = inputs.split(',').map(|input| {
            let made = results.iter().find(|(_, name)| name == input);
            let (piece, _) = made.expect("a result of the stage");
            piece["Id"].as_str().expect("an id").to_owned()
        });
        owners.collect()
    }
}

/// Guards against results of other requests as inputs. A copy of an answer was taken for
/// the answer to a later call if its results were no longer among the 2,048 latest ones
/// of the service.
#[test]
fn copy_of_a_stage_answer_of_any_age_gives_no_request_foreign_inputs() {
    for later_call in [2, 3, 5, 7] {
        let stage =
            StageTarget::start_with_duplicate_answer(any_port(), "s0", CALL_TIME, later_call);
        let fixture = CopyFixture::start(stage.expect("a stage"));
        for call in 1.. {
            assert!(call <= MAX_CALLS, "no copy was sent");
            if call > later_call + 1 && fixture.stage.has_sent_copy() {
                break;
            }
            let is_between = (2..later_call).contains(&call);
            let pieces = if is_between { MANY_PIECES } else { FEW_PIECES };
            let id = format!("r{call}");
            let owners = fixture.fetch_input_owners(&id, pieces);
            assert_eq!(owners, BTreeSet::from([id]), "copy at call {later_call}");
            // The call that frees the results uses the same connection.
            thread::sleep(FREE_PAUSE);
        }
    }
}

/// Guards against calls that fail without a fault of their own. The call that frees
/// results took a copy for its answer and kept the connection, on which the next call
/// then got the answer to that call.
#[test]
fn copy_before_the_answer_to_a_free_call_does_not_fail_the_next_call() {
    let delay = Duration::from_millis(300);
    let stage =
        StageTarget::start_with_duplicate_answer_before_free(any_port(), "s0", CALL_TIME, delay);
    let fixture = CopyFixture::start(stage.expect("a stage"));
    for call in 1..=MAX_CALLS {
        let id = format!("r{call}");
        let owners = fixture.fetch_input_owners(&id, FEW_PIECES);
        assert_eq!(owners, BTreeSet::from([id]));
        thread::sleep(FREE_PAUSE);
    }
    assert!(fixture.stage.has_sent_copy(), "no copy was sent");
    let lines = fixture.gateway.log_lines();
    let ends = lines
        .iter()
        .filter(|line| line["msg"] == "stage: Call ended.");
    let ends: BTreeSet<String> = ends.map(|line| line["end"].to_string()).collect();
    assert_eq!(ends, BTreeSet::from(["\"answered\"".to_owned()]));
}
