//! Placement: the plan depends on published data only, engines reach their
//! desired state, and an older order never overrides a newer one.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{GenerationNumber, ModelName, NodeId, PoolName, RevisionNumber, TargetId},
    policy::{
        limits::OwnerView,
        placement::{
            CandidateEngine, OrderOutcome, PlacementAction, PlacementController, PlacementPlan,
        },
    },
    protocol::{EngineOrder, EngineState, OrderCall},
    records::ModelRecord,
};

const START: ClockTime = ClockTime::from_millis(10_000);
const STEP: TimeSpan = TimeSpan::from_millis(500);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn model(index: usize) -> ModelName {
    ModelName::new(&format!("model-{index}")).unwrap()
}

fn target(index: usize) -> TargetId {
    TargetId::new(&format!("engine-{index}")).unwrap()
}

fn node(index: usize) -> NodeId {
    NodeId::new(&format!("node-{index}")).unwrap()
}

fn record(index: usize, version: &str, replicas: u32, retired: bool) -> ModelRecord {
    ModelRecord {
        name: model(index),
        generation: GenerationNumber::new(1),
        version: version.to_owned(),
        adapters: vec!["repairs".to_owned()],
        replicas,
        pool: PoolName::new("engines").unwrap(),
        retired,
    }
}

fn engines(count: usize) -> Vec<CandidateEngine> {
    let engine = |index| CandidateEngine {
        target: target(index),
        pool: PoolName::new("engines").unwrap(),
        models: (0..4).map(model).collect(),
        leaving: false,
    };
    (0..count).map(engine).collect()
}

/// An engine that records the fencing tokens of the orders it executed.
#[derive(Debug, Default)]
struct FakeEngine {
    checks_fence: bool,
    state: EngineState,
    executed_fences: Vec<RevisionNumber>,
}

impl FakeEngine {
    fn execute(&mut self, call: &OrderCall) -> OrderOutcome {
        if self.checks_fence && call.fence < self.state.fence {
            return OrderOutcome::Stale;
        }
        self.state.fence = self.state.fence.max(call.fence);
        self.executed_fences.push(call.fence);
        match &call.order {
            EngineOrder::LoadModel { model, version } => {
                self.remove_model(model);
                self.state.models.push(format!("{model}@{version}"));
            }
            EngineOrder::UnloadModel { model } => self.remove_model(model),
            EngineOrder::LoadAdapter { model, adapter } => {
                self.state.adapters.push(format!("{model}/{adapter}"));
            }
            EngineOrder::SetRole { role } => self.state.role.clone_from(role),
        }
        OrderOutcome::Taken
    }

    fn remove_model(&mut self, model: &ModelName) {
        let prefix = format!("{model}@");
        self.state.models.retain(|held| !held.starts_with(&prefix));
    }
}

fn step(
    controller: &mut PlacementController,
    engines: &mut BTreeMap<TargetId, FakeEngine>,
    now: ClockTime,
) -> usize {
    let mut orders = 0;
    for action in controller.tick(now) {
        let PlacementAction::ReadState(target) = action else {
            continue;
        };
        let engine = engines.get_mut(&target).unwrap();
        let state = engine.state.clone();
        if let Some(PlacementAction::SendOrder { target, call, .. }) =
            controller.handle_state(&target, &state, now)
        {
            orders += 1;
            let outcome = engine.execute(&call);
            controller.handle_order_outcome(&target, outcome, now);
        }
    }
    orders
}

fn fake_engines(count: usize, checks_fence: bool) -> BTreeMap<TargetId, FakeEngine> {
    let fake = |index| {
        let engine = FakeEngine {
            checks_fence,
            ..FakeEngine::default()
        };
        (target(index), engine)
    };
    (0..count).map(fake).collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn plan_depends_on_published_data_only(
        count in 1_usize..12,
        replicas in 0_u32..6,
        seed in any::<u64>(),
    ) {
        let records = [record(0, "1", replicas, false), record(1, "1", 2, false)];
        let listed = engines(count);
        let mut shuffled = listed.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let revision = RevisionNumber::new(3);
        let plan = PlacementPlan::new(revision, &records, &listed);
        prop_assert_eq!(&plan, &PlacementPlan::new(revision, &records, &shuffled));
        let holders = plan.targets().filter(|target| {
            plan.desired_state(target).unwrap().models.contains_key(&model(0))
        });
        let available = u32::try_from(count).unwrap();
        prop_assert_eq!(holders.count(), usize::try_from(replicas.min(available)).unwrap());
    }

    #[test]
    fn leaving_engine_moves_few_models(count in 3_usize..12, leaving in 0_usize..12) {
        let records = [record(0, "1", 2, false)];
        let listed = engines(count);
        let mut with_leaving = listed.clone();
        with_leaving[leaving % count].leaving = true;
        let revision = RevisionNumber::new(3);
        let holders = |plan: &PlacementPlan| -> BTreeSet<TargetId> {
            let holds = |target: &&TargetId| !plan.desired_state(target).unwrap().models.is_empty();
            plan.targets().filter(holds).cloned().collect()
        };
        let before = holders(&PlacementPlan::new(revision, &records, &listed));
        let after = holders(&PlacementPlan::new(revision, &records, &with_leaving));
        prop_assert!(!after.contains(&target(leaving % count)));
        prop_assert!(after.difference(&before).count() <= 1);
    }

    #[test]
    fn engines_reach_their_desired_state_and_get_no_further_orders(
        count in 1_usize..6,
        checks_fence in any::<bool>(),
        retired in any::<bool>(),
    ) {
        let records = [
            record(0, "2", 2, false),
            record(1, "1", 1, false),
            record(2, "1", 3, retired),
        ];
        let plan = Arc::new(PlacementPlan::new(RevisionNumber::new(7), &records, &engines(count)));
        let view = OwnerView::new([node(0)], 1);
        let mut controller = PlacementController::new(node(0));
        let mut fakes = fake_engines(count, checks_fence);
        for engine in fakes.values_mut() {
            engine.state.models = vec!["model-0@1".into(), "model-2@1".into(), "other@9".into()];
        }
        let mut now = START;
        controller.update_plan(Arc::clone(&plan), &view, now);
        for _ in 0..400 {
            now = now + STEP;
            step(&mut controller, &mut fakes, now);
        }
        for (target, engine) in &fakes {
            let desired = plan.desired_state(target).unwrap();
            prop_assert_eq!(desired.next_load(&engine.state), None);
            prop_assert_eq!(desired.unwanted_model(&engine.state), None);
            prop_assert!(engine.state.models.contains(&"other@9".to_owned()));
        }
        let mut orders = 0;
        for _ in 0..100 {
            now = now + STEP;
            orders += step(&mut controller, &mut fakes, now);
        }
        prop_assert_eq!(orders, 0);
    }

    /// While a new home node takes over with a newer plan, the old one may be paused
    /// at any point with an order pending that follows its older plan. An order that
    /// it has not sent in time is dropped.
    #[test]
    fn older_order_never_overrides_a_newer_one(
        checks_fence in any::<bool>(),
        // Delay of each order of the old home, in steps.
        delays in prop::collection::vec(0_u64..30, 40),
        takeover in 1_usize..40,
    ) {
        let listed = engines(1);
        let old_records = [record(0, "1", 1, false)];
        let new_records = [record(0, "2", 1, false)];
        let old_plan = PlacementPlan::new(RevisionNumber::new(5), &old_records, &listed);
        let new_plan = PlacementPlan::new(RevisionNumber::new(6), &new_records, &listed);
        let mut old = PlacementController::new(node(0));
        let mut new = PlacementController::new(node(1));
        let only_node = |index| OwnerView::new([node(index)], 2);
        old.update_plan(Arc::new(old_plan), &only_node(0), START);
        let mut fakes = fake_engines(1, checks_fence);
        let mut now = START;
        let mut pending: Option<(ClockTime, OrderCall, ClockTime)> = None;
        for (round, delay) in delays.into_iter().enumerate() {
            now = now + STEP;
            if round == takeover {
                new.update_plan(Arc::new(new_plan.clone()), &only_node(1), now);
            }
            step(&mut new, &mut fakes, now);
            let engine = fakes.get_mut(&target(0)).unwrap();
            if let Some((send_at, call, not_after)) = pending.take() {
                if now < send_at {
                    pending = Some((send_at, call, not_after));
                } else if now < not_after {
                    let outcome = engine.execute(&call);
                    old.handle_order_outcome(&target(0), outcome, now);
                }
            }
            // The old home learns of the takeover and decides on no further orders.
            if round < takeover {
                for action in old.tick(now) {
                    let PlacementAction::ReadState(target) = action else { continue };
                    let order = old.handle_state(&target, &engine.state, now);
                    if let Some(PlacementAction::SendOrder { call, not_after, .. }) = order {
                        pending = Some((now + STEP * delay, call, not_after));
                    }
                }
            }
        }
        let engine = &fakes[&target(0)];
        prop_assert!(engine.executed_fences.is_sorted(), "{:?}", engine.executed_fences);
    }
}

#[test]
fn older_plan_is_ignored() {
    let listed = engines(1);
    let records = [record(0, "2", 1, false)];
    let old_records = [record(0, "1", 1, false)];
    let view = OwnerView::new([node(0)], 1);
    let mut controller = PlacementController::new(node(0));
    let newer = PlacementPlan::new(RevisionNumber::new(6), &records, &listed);
    let older = PlacementPlan::new(RevisionNumber::new(5), &old_records, &listed);
    controller.update_plan(Arc::new(newer), &view, START);
    controller.update_plan(Arc::new(older), &view, START);
    let mut fakes = fake_engines(1, false);
    let mut now = START;
    for _ in 0..40 {
        now = now + STEP;
        step(&mut controller, &mut fakes, now);
    }
    assert_eq!(fakes[&target(0)].state.models, ["model-0@2"]);
}

#[test]
fn node_with_an_outdated_plan_sends_no_orders() {
    let records = [record(0, "1", 1, false)];
    let plan = PlacementPlan::new(RevisionNumber::new(5), &records, &engines(1));
    let view = OwnerView::new([node(0)], 1);
    let mut controller = PlacementController::new(node(0));
    controller.update_plan(Arc::new(plan), &view, START);
    let mut fakes = fake_engines(1, false);
    fakes.get_mut(&target(0)).unwrap().state.fence = RevisionNumber::new(6);
    let mut now = START;
    for _ in 0..40 {
        now = now + STEP;
        assert_eq!(step(&mut controller, &mut fakes, now), 0);
    }
}

#[test]
fn concurrent_loads_are_limited() {
    let records = [record(0, "1", 10, false)];
    let plan = PlacementPlan::new(RevisionNumber::new(5), &records, &engines(10));
    let view = OwnerView::new([node(0)], 1);
    let mut controller = PlacementController::new(node(0));
    controller.update_plan(Arc::new(plan), &view, START);
    let now = START + TimeSpan::from_secs(5);
    let mut orders = 0;
    for action in controller.tick(now) {
        let PlacementAction::ReadState(target) = action else {
            continue;
        };
        let sent = controller.handle_state(&target, &EngineState::default(), now);
        orders += usize::from(sent.is_some());
    }
    assert_eq!(orders, 2);
}
