//! Admission control: each request and each wait gets one decision, slot limits
//! hold, and waiting calls start in fair order.

use std::collections::{BTreeMap, BTreeSet};

use assert_matches::assert_matches;
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::WorkspaceId,
    policy::{
        WorkspaceHash,
        admission::{
            AdmissionAction, AdmissionController, AdmissionDecision, AdmissionId, AdmissionMode,
            AdmissionRule, FairQueue, PoolIndex, PoolLoad, QueuedCall, RefusalReason,
            RequestArrival, RequestRefusal, StageDemand, StartDecision,
        },
    },
};

const START: ClockTime = ClockTime::from_millis(10_000);
const WORK: TimeSpan = TimeSpan::from_millis(100);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn workspace(index: usize) -> WorkspaceHash {
    WorkspaceHash::of(&WorkspaceId::new(&format!("workspace-{index}")).unwrap())
}

fn demand(pool: PoolIndex) -> StageDemand {
    StageDemand {
        pool,
        time: WORK,
        work: WORK,
    }
}

/// A controller with two pools, and the state that its callers expect it to
/// have.
struct Harness {
    controller: AdmissionController,
    pools: Vec<PoolIndex>,
    now: ClockTime,
    admitted: u32,
    refused: u32,
    running: BTreeMap<AdmissionId, usize>,
    waiting: BTreeSet<AdmissionId>,
    stages: BTreeMap<AdmissionId, usize>,
}

impl Harness {
    fn new(capacity: f64) -> Self {
        let mut controller = AdmissionController::new(AdmissionRule::default());
        let pools = vec![controller.add_pool(), controller.add_pool()];
        let mut harness = Self {
            controller,
            pools,
            now: START,
            admitted: 0,
            refused: 0,
            running: BTreeMap::new(),
            waiting: BTreeSet::new(),
            stages: BTreeMap::new(),
        };
        harness.update(capacity);
        harness
    }

    fn update(&mut self, capacity: f64) {
        let load = PoolLoad {
            capacity,
            others: 0.0,
            nodes: 1.0,
        };
        for pool in self.pools.clone() {
            let mut actions = Vec::new();
            self.controller.update(pool, &load, self.now, &mut actions);
            self.apply(&actions);
        }
    }

    fn admit(&mut self, workspace: WorkspaceHash, time_left: u64) -> Option<AdmissionId> {
        let stages = [demand(self.pools[0]), demand(self.pools[1])];
        let arrival = RequestArrival {
            workspace,
            deadline: self.now + TimeSpan::from_millis(time_left),
            stages: &stages,
        };
        match self.controller.admit(&arrival, self.now) {
            AdmissionDecision::Refused(_) => {
                self.refused += 1;
                None
            }
            AdmissionDecision::Admitted(id) => {
                self.admitted += 1;
                assert!(self.stages.insert(id, 0).is_none());
                self.start(id);
                Some(id)
            }
        }
    }

    fn start(&mut self, id: AdmissionId) {
        match self.controller.start(id, self.now) {
            StartDecision::Started => assert!(self.running.insert(id, 0).is_none()),
            StartDecision::Waiting => assert!(self.waiting.insert(id)),
            StartDecision::Expired => self.remove(id),
        }
    }

    fn finish(&mut self, id: AdmissionId) {
        let mut actions = Vec::new();
        self.running.remove(&id);
        self.controller.finish(id, WORK, self.now, &mut actions);
        self.apply(&actions);
        let stage = self.stages.get_mut(&id).unwrap();
        *stage += 1;
        if *stage == 2 {
            self.remove(id);
        } else {
            self.start(id);
        }
    }

    fn remove(&mut self, id: AdmissionId) {
        let mut actions = Vec::new();
        self.running.remove(&id);
        self.waiting.remove(&id);
        self.stages.remove(&id);
        self.controller.remove(id, self.now, &mut actions);
        self.apply(&actions);
    }

    /// Applies actions, each of which must end the wait of a call.
    fn apply(&mut self, actions: &[AdmissionAction]) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => {
                    assert!(self.waiting.remove(id));
                    assert!(self.running.insert(*id, 0).is_none());
                }
                AdmissionAction::Expire(id) => {
                    assert!(self.waiting.remove(id));
                    self.remove(*id);
                }
            }
        }
    }

    /// Asserts that the controller counts the same calls as its callers.
    fn assert_consistent(&self) {
        for (stage, pool) in self.pools.iter().enumerate() {
            let status = self.controller.status(*pool).unwrap();
            let at_stage = |id: &&AdmissionId| self.stages.get(id) == Some(&stage);
            let running = self.running.keys().filter(at_stage).count();
            let waiting = self.waiting.iter().filter(at_stage).count();
            assert_eq!(usize::try_from(status.running).unwrap(), running);
            assert_eq!(status.waiting, waiting);
        }
        assert_eq!(self.controller.request_count(), self.stages.len());
    }
}

#[derive(Clone, Debug)]
enum Step {
    Arrive { workspace: usize, time_left: u64 },
    Finish(usize),
    Remove(usize),
    Wait(u64),
    Update,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0_usize..4, 150_u64..3_000).prop_map(|(workspace, time_left)| Step::Arrive { workspace, time_left }),
        4 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::Remove),
        2 => (0_u64..200).prop_map(Step::Wait),
        1 => Just(Step::Update),
    ]
}

fn pick<'list, I>(mut ids: I, index: usize, size: usize) -> Option<AdmissionId>
where
    I: Iterator<Item = &'list AdmissionId>,
{
    ids.nth(index % size.max(1)).copied()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn each_arrival_and_each_wait_gets_one_answer(steps in prop::collection::vec(step(), 1..300)) {
        let mut harness = Harness::new(4.0);
        let mut arrivals = 0;
        for step in steps {
            match step {
                Step::Arrive { workspace: index, time_left } => {
                    arrivals += 1;
                    harness.admit(workspace(index), time_left);
                }
                Step::Finish(index) => {
                    let size = harness.running.len();
                    if let Some(id) = pick(harness.running.keys(), index, size) {
                        harness.finish(id);
                    }
                }
                Step::Remove(index) => {
                    let size = harness.stages.len();
                    if let Some(id) = pick(harness.stages.keys(), index, size) {
                        harness.remove(id);
                    }
                }
                Step::Wait(span) => harness.now = harness.now + TimeSpan::from_millis(span),
                Step::Update => harness.update(4.0),
            }
            harness.assert_consistent();
        }
        prop_assert_eq!(arrivals, harness.admitted + harness.refused);
        let in_progress: Vec<AdmissionId> = harness.stages.keys().copied().collect();
        for id in in_progress {
            harness.remove(id);
        }
        harness.assert_consistent();
        for pool in &harness.pools {
            let status = harness.controller.status(*pool).unwrap();
            prop_assert_eq!(status.pending, TimeSpan::ZERO);
            prop_assert_eq!((status.running, status.waiting), (0, 0));
        }
    }

    #[test]
    fn running_calls_never_exceed_the_slot_limit(arrivals in 1_usize..200, capacity in 1_u32..16) {
        let mut harness = Harness::new(f64::from(capacity));
        for index in 0..arrivals {
            harness.admit(workspace(index % 3), 60_000);
            let status = harness.controller.status(harness.pools[0]).unwrap();
            prop_assert!(f64::from(status.running) <= status.limit);
        }
    }

    #[test]
    fn quiet_workspace_is_not_delayed_by_a_burst(burst in 1_usize..400, quantum in 100_u64..1_000) {
        let mut queue = FairQueue::new(TimeSpan::from_millis(quantum));
        let call = |id, latest| QueuedCall {
            latest_start: ClockTime::from_millis(latest),
            request: AdmissionId::new(id),
            work: WORK,
        };
        // The burst arrives first and its calls are more urgent.
        for id in 0..burst as u64 {
            queue.push(workspace(0), call(id, 1_000 + id));
        }
        queue.push(workspace(1), call(9_999, 1_000_000));
        let order: Vec<AdmissionId> = std::iter::from_fn(|| queue.pop()).map(|call| call.request).collect();
        let position = order.iter().position(|id| *id == AdmissionId::new(9_999)).unwrap();
        let bound = usize::try_from(quantum / WORK.as_millis()).unwrap() + 1;
        prop_assert!(position <= bound, "waited behind {position} calls, allowed {bound}");
        prop_assert_eq!(order.len(), burst + 1);
    }

    #[test]
    fn work_is_shared_equally_while_both_workspaces_wait(first in 20_u64..300, second in 20_u64..300) {
        let quantum = 500;
        let mut queue = FairQueue::new(TimeSpan::from_millis(quantum));
        for (index, work) in [first, second].into_iter().enumerate() {
            for id in 0..200 {
                queue.push(workspace(index), QueuedCall {
                    latest_start: ClockTime::from_millis(1_000 + id),
                    request: AdmissionId::new(id * 2 + index as u64),
                    work: TimeSpan::from_millis(work),
                });
            }
        }
        let mut served_work = [0_u64, 0];
        let mut counts = [0, 0];
        while counts.iter().all(|count| *count < 200) {
            let call = queue.pop().unwrap();
            let index = usize::try_from(call.request.get() % 2).unwrap();
            served_work[index] += call.work.as_millis();
            counts[index] += 1;
            let difference = served_work[0].abs_diff(served_work[1]);
            prop_assert!(difference <= quantum + first.max(second), "difference is {difference} ms");
        }
    }

    #[test]
    fn least_slack_goes_first_within_a_workspace(latest in prop::collection::vec(1_u64..100_000, 1..100)) {
        let mut queue = FairQueue::new(TimeSpan::from_millis(500));
        for (id, latest) in (0..).zip(&latest) {
            queue.push(workspace(0), QueuedCall {
                latest_start: ClockTime::from_millis(*latest),
                request: AdmissionId::new(id),
                work: WORK,
            });
        }
        let order: Vec<ClockTime> = std::iter::from_fn(|| queue.pop())
            .map(|call| call.latest_start)
            .collect();
        prop_assert!(order.is_sorted());
    }
}

#[test]
fn least_slack_goes_first_between_workspaces_within_their_fair_shares() {
    let mut queue = FairQueue::new(TimeSpan::from_millis(500));
    for index in 0..5 {
        let call = QueuedCall {
            latest_start: ClockTime::from_millis(1_000 - index),
            request: AdmissionId::new(index),
            work: WORK,
        };
        queue.push(workspace(usize::try_from(index).unwrap()), call);
    }
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop())
        .map(|call| call.request.get())
        .collect();
    assert_eq!(order, [4, 3, 2, 1, 0]);
}

#[test]
fn idle_workspace_accumulates_no_unused_share() {
    let mut queue = FairQueue::new(TimeSpan::from_millis(500));
    let call = |id| QueuedCall {
        latest_start: ClockTime::from_millis(id),
        request: AdmissionId::new(id),
        work: WORK,
    };
    // Workspace 0 is served alone for a long time before workspace 1 has calls.
    for _ in 0..1_000 {
        queue.charge(workspace(0), WORK);
    }
    for id in 0..100 {
        queue.push(workspace(0), call(id));
        queue.push(workspace(1), call(1_000 + id));
    }
    let first: Vec<QueuedCall> = std::iter::from_fn(|| queue.pop()).take(40).collect();
    let of_idle_workspace = first.iter().filter(|call| call.request.get() >= 1_000);
    assert!(of_idle_workspace.count() <= 26);
}

#[test]
fn request_with_unreachable_deadline_is_refused_at_once() {
    let mut harness = Harness::new(4.0);
    let stages = [demand(harness.pools[0]), demand(harness.pools[1])];
    let arrival = RequestArrival {
        workspace: workspace(0),
        deadline: START + TimeSpan::from_millis(150),
        stages: &stages,
    };
    assert_matches!(
        harness.controller.admit(&arrival, START),
        AdmissionDecision::Refused(RequestRefusal {
            reason: RefusalReason::DeadlineTooShort,
            retry_after: None,
            ..
        })
    );
}

#[test]
fn overload_is_refused_with_a_retry_time() {
    let mut harness = Harness::new(4.0);
    while harness.admit(workspace(0), 2_000).is_some() {
        assert!(harness.admitted < 1_000, "no request is refused");
    }
    let stages = [demand(harness.pools[0]), demand(harness.pools[1])];
    let arrival = |index| RequestArrival {
        workspace: workspace(index),
        deadline: START + TimeSpan::from_millis(2_000),
        stages: &stages,
    };
    assert_matches!(
        harness.controller.admit(&arrival(0), START),
        AdmissionDecision::Refused(RequestRefusal {
            reason: RefusalReason::Overload,
            retry_after: Some(_),
            ..
        })
    );
    assert_matches!(
        harness.controller.admit(&arrival(1), START),
        AdmissionDecision::Admitted(_)
    );
}

#[test]
fn mode_none_admits_and_starts_every_request() {
    let mut controller = AdmissionController::new(AdmissionRule {
        mode: AdmissionMode::None,
        ..AdmissionRule::default()
    });
    let stages = [demand(controller.add_pool())];
    for _ in 0..1_000 {
        let arrival = RequestArrival {
            workspace: workspace(0),
            deadline: START,
            stages: &stages,
        };
        let decision = controller.admit(&arrival, START);
        let AdmissionDecision::Admitted(id) = decision else {
            panic!("the request is refused");
        };
        assert_eq!(controller.start(id, START), StartDecision::Started);
    }
}
