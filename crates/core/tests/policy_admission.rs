//! Admission: one answer for each arrival, bounds, fairness and order.

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

/// A machine and what its callers have seen.
struct Observed {
    machine: AdmissionController,
    pools: Vec<PoolIndex>,
    now: ClockTime,
    admitted: u32,
    refused: u32,
    running: BTreeMap<AdmissionId, usize>,
    waiting: BTreeSet<AdmissionId>,
    stages: BTreeMap<AdmissionId, usize>,
}

impl Observed {
    fn new(capacity: f64) -> Self {
        let mut machine = AdmissionController::new(AdmissionRule::default());
        let pools = vec![machine.add_pool(), machine.add_pool()];
        let mut observed = Self {
            machine,
            pools,
            now: START,
            admitted: 0,
            refused: 0,
            running: BTreeMap::new(),
            waiting: BTreeSet::new(),
            stages: BTreeMap::new(),
        };
        observed.update(capacity);
        observed
    }

    fn update(&mut self, capacity: f64) {
        let load = PoolLoad {
            capacity,
            others: 0.0,
            nodes: 1.0,
        };
        for pool in self.pools.clone() {
            let mut actions = Vec::new();
            self.machine.update(pool, &load, self.now, &mut actions);
            self.take(&actions);
        }
    }

    fn arrive(&mut self, workspace: WorkspaceHash, left: u64) -> Option<AdmissionId> {
        let stages = [demand(self.pools[0]), demand(self.pools[1])];
        let arrival = RequestArrival {
            workspace,
            deadline: self.now + TimeSpan::from_millis(left),
            stages: &stages,
        };
        match self.machine.admit(&arrival, self.now) {
            AdmissionDecision::Refused(_) => {
                self.refused += 1;
                None
            }
            AdmissionDecision::Admitted(entry) => {
                self.admitted += 1;
                assert!(self.stages.insert(entry, 0).is_none());
                self.ask(entry);
                Some(entry)
            }
        }
    }

    fn ask(&mut self, entry: AdmissionId) {
        match self.machine.start(entry, self.now) {
            StartDecision::Started => assert!(self.running.insert(entry, 0).is_none()),
            StartDecision::Waiting => assert!(self.waiting.insert(entry)),
            StartDecision::Expired => self.leave(entry),
        }
    }

    fn finish(&mut self, entry: AdmissionId) {
        let mut actions = Vec::new();
        self.running.remove(&entry);
        self.machine.finish(entry, WORK, self.now, &mut actions);
        self.take(&actions);
        let stage = self.stages.get_mut(&entry).unwrap();
        *stage += 1;
        if *stage == 2 {
            self.leave(entry);
        } else {
            self.ask(entry);
        }
    }

    fn leave(&mut self, entry: AdmissionId) {
        let mut actions = Vec::new();
        self.running.remove(&entry);
        self.waiting.remove(&entry);
        self.stages.remove(&entry);
        self.machine.remove(entry, self.now, &mut actions);
        self.take(&actions);
    }

    /// Each action must answer a call that waits.
    fn take(&mut self, actions: &[AdmissionAction]) {
        for action in actions {
            match action {
                AdmissionAction::Start(entry) => {
                    assert!(self.waiting.remove(entry));
                    assert!(self.running.insert(*entry, 0).is_none());
                }
                AdmissionAction::Expire(entry) => {
                    assert!(self.waiting.remove(entry));
                    self.leave(*entry);
                }
            }
        }
    }

    fn check(&self) {
        for (stage, pool) in self.pools.iter().enumerate() {
            let status = self.machine.status(*pool).unwrap();
            let at_stage = |entry: &&AdmissionId| self.stages.get(entry) == Some(&stage);
            let running = self.running.keys().filter(at_stage).count();
            let waiting = self.waiting.iter().filter(at_stage).count();
            assert_eq!(usize::try_from(status.running).unwrap(), running);
            assert_eq!(status.waiting, waiting);
        }
        assert_eq!(self.machine.request_count(), self.stages.len());
    }
}

#[derive(Clone, Debug)]
enum Step {
    Arrive { workspace: usize, left: u64 },
    Finish(usize),
    Leave(usize),
    Wait(u64),
    Update,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0_usize..4, 150_u64..3_000).prop_map(|(workspace, left)| Step::Arrive { workspace, left }),
        4 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::Leave),
        2 => (0_u64..200).prop_map(Step::Wait),
        1 => Just(Step::Update),
    ]
}

fn pick<'list, I>(mut entries: I, at: usize, size: usize) -> Option<AdmissionId>
where
    I: Iterator<Item = &'list AdmissionId>,
{
    entries.nth(at % size.max(1)).copied()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn each_arrival_and_each_wait_gets_one_answer(steps in prop::collection::vec(step(), 1..300)) {
        let mut observed = Observed::new(4.0);
        let mut arrivals = 0;
        for step in steps {
            match step {
                Step::Arrive { workspace: index, left } => {
                    arrivals += 1;
                    observed.arrive(workspace(index), left);
                }
                Step::Finish(at) => {
                    let size = observed.running.len();
                    if let Some(entry) = pick(observed.running.keys(), at, size) {
                        observed.finish(entry);
                    }
                }
                Step::Leave(at) => {
                    let size = observed.stages.len();
                    if let Some(entry) = pick(observed.stages.keys(), at, size) {
                        observed.leave(entry);
                    }
                }
                Step::Wait(span) => observed.now = observed.now + TimeSpan::from_millis(span),
                Step::Update => observed.update(4.0),
            }
            observed.check();
        }
        prop_assert_eq!(arrivals, observed.admitted + observed.refused);
        let open: Vec<AdmissionId> = observed.stages.keys().copied().collect();
        for entry in open {
            observed.leave(entry);
        }
        observed.check();
        for pool in &observed.pools {
            let status = observed.machine.status(*pool).unwrap();
            prop_assert_eq!(status.pending, TimeSpan::ZERO);
            prop_assert_eq!((status.running, status.waiting), (0, 0));
        }
    }

    #[test]
    fn slots_are_never_overdrawn(arrivals in 1_usize..200, capacity in 1_u32..16) {
        let mut observed = Observed::new(f64::from(capacity));
        for index in 0..arrivals {
            observed.arrive(workspace(index % 3), 60_000);
            let status = observed.machine.status(observed.pools[0]).unwrap();
            prop_assert!(f64::from(status.running) <= status.limit);
        }
    }

    #[test]
    fn quiet_workspace_waits_behind_no_burst(burst in 1_usize..400, quantum in 100_u64..1_000) {
        let mut queue = FairQueue::new(TimeSpan::from_millis(quantum));
        let call = |entry, latest| QueuedCall {
            latest_start: ClockTime::from_millis(latest),
            entry: AdmissionId::new(entry),
            work: WORK,
        };
        // The burst is the more urgent, and was there before.
        for entry in 0..burst as u64 {
            queue.push(workspace(0), call(entry, 1_000 + entry));
        }
        queue.push(workspace(1), call(9_999, 1_000_000));
        let order: Vec<AdmissionId> = std::iter::from_fn(|| queue.pop()).map(|call| call.entry).collect();
        let place = order.iter().position(|entry| *entry == AdmissionId::new(9_999)).unwrap();
        let bound = usize::try_from(quantum / WORK.as_millis()).unwrap() + 1;
        prop_assert!(place <= bound, "behind {place} calls, bound {bound}");
        prop_assert_eq!(order.len(), burst + 1);
    }

    #[test]
    fn work_is_shared_equally_while_both_wait(first in 20_u64..300, second in 20_u64..300) {
        let quantum = 500;
        let mut queue = FairQueue::new(TimeSpan::from_millis(quantum));
        for (index, work) in [first, second].into_iter().enumerate() {
            for entry in 0..200 {
                queue.push(workspace(index), QueuedCall {
                    latest_start: ClockTime::from_millis(1_000 + entry),
                    entry: AdmissionId::new(entry * 2 + index as u64),
                    work: TimeSpan::from_millis(work),
                });
            }
        }
        let mut given = [0_u64, 0];
        let mut counts = [0, 0];
        while counts.iter().all(|count| *count < 200) {
            let call = queue.pop().unwrap();
            let index = usize::try_from(call.entry.get() % 2).unwrap();
            given[index] += call.work.as_millis();
            counts[index] += 1;
            let apart = given[0].abs_diff(given[1]);
            prop_assert!(apart <= quantum + first.max(second), "{apart} ms apart");
        }
    }

    #[test]
    fn least_slack_goes_first_within_a_workspace(latest in prop::collection::vec(1_u64..100_000, 1..100)) {
        let mut queue = FairQueue::new(TimeSpan::from_millis(500));
        for (entry, latest) in (0..).zip(&latest) {
            queue.push(workspace(0), QueuedCall {
                latest_start: ClockTime::from_millis(*latest),
                entry: AdmissionId::new(entry),
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
fn least_slack_goes_first_between_workspaces_in_their_shares() {
    let mut queue = FairQueue::new(TimeSpan::from_millis(500));
    for index in 0..5 {
        let call = QueuedCall {
            latest_start: ClockTime::from_millis(1_000 - index),
            entry: AdmissionId::new(index),
            work: WORK,
        };
        queue.push(workspace(usize::try_from(index).unwrap()), call);
    }
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop())
        .map(|call| call.entry.get())
        .collect();
    assert_eq!(order, [4, 3, 2, 1, 0]);
}

#[test]
fn idle_workspace_saves_up_no_share() {
    let mut queue = FairQueue::new(TimeSpan::from_millis(500));
    let call = |entry| QueuedCall {
        latest_start: ClockTime::from_millis(entry),
        entry: AdmissionId::new(entry),
        work: WORK,
    };
    // Workspace 0 is served alone for long, workspace 1 comes late.
    for _ in 0..1_000 {
        queue.charge(workspace(0), WORK);
    }
    for entry in 0..100 {
        queue.push(workspace(0), call(entry));
        queue.push(workspace(1), call(1_000 + entry));
    }
    let first: Vec<QueuedCall> = std::iter::from_fn(|| queue.pop()).take(40).collect();
    let late_comer = first.iter().filter(|call| call.entry.get() >= 1_000);
    assert!(late_comer.count() <= 26);
}

#[test]
fn hopeless_request_is_refused_at_once() {
    let mut observed = Observed::new(4.0);
    let stages = [demand(observed.pools[0]), demand(observed.pools[1])];
    let arrival = RequestArrival {
        workspace: workspace(0),
        deadline: START + TimeSpan::from_millis(150),
        stages: &stages,
    };
    assert_matches!(
        observed.machine.admit(&arrival, START),
        AdmissionDecision::Refused(RequestRefusal {
            reason: RefusalReason::DeadlineTooShort,
            retry_after: None,
            ..
        })
    );
}

#[test]
fn overload_is_refused_with_a_time_to_return() {
    let mut observed = Observed::new(4.0);
    while observed.arrive(workspace(0), 2_000).is_some() {
        assert!(observed.admitted < 1_000, "nothing is refused");
    }
    let stages = [demand(observed.pools[0]), demand(observed.pools[1])];
    let arrival = |index| RequestArrival {
        workspace: workspace(index),
        deadline: START + TimeSpan::from_millis(2_000),
        stages: &stages,
    };
    assert_matches!(
        observed.machine.admit(&arrival(0), START),
        AdmissionDecision::Refused(RequestRefusal {
            reason: RefusalReason::Overload,
            retry_after: Some(_),
            ..
        })
    );
    assert_matches!(
        observed.machine.admit(&arrival(1), START),
        AdmissionDecision::Admitted(_)
    );
}

#[test]
fn baseline_admits_and_starts_everything() {
    let mut machine = AdmissionController::new(AdmissionRule {
        mode: AdmissionMode::None,
        ..AdmissionRule::default()
    });
    let stages = [demand(machine.add_pool())];
    for _ in 0..1_000 {
        let arrival = RequestArrival {
            workspace: workspace(0),
            deadline: START,
            stages: &stages,
        };
        let answer = machine.admit(&arrival, START);
        let AdmissionDecision::Admitted(entry) = answer else {
            panic!("refused");
        };
        assert_eq!(machine.start(entry, START), StartDecision::Started);
    }
}
