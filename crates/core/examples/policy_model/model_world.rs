use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use fastrand::Rng;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{NodeId, PoolName, TargetId, WorkspaceId, ZoneName},
    policy::{
        WorkspaceHash,
        admission::{
            AdmissionAction, AdmissionController, AdmissionDecision, AdmissionId, AdmissionRule,
            PoolIndex, PoolLoad, RequestArrival, StageDemand, StageTimes, StartDecision,
        },
        health::CallOutcome,
        routing::{
            InFlightGuard, PromptPrefix, RouteObjective, RouteRequest, TargetEntry, TargetMap,
            TargetMapConfig, TargetPool,
        },
    },
    protocol::{VmEntry, VmRole, VmState},
};

use super::{
    model_target::{ModelCall, ModelTarget, as_f64, scale},
    outcome_tally::OutcomeTally,
    scenario::{PolicyChoice, Scenario},
};

const NODES: usize = 9;
const WORKSPACES: usize = 5;
const CONVERSATIONS: usize = 900;
const POOLS: [ModelPool; 2] = [
    ModelPool {
        name: "encoders",
        targets: 8,
        capacity: 6,
        work_ms: 100,
    },
    ModelPool {
        name: "engines",
        targets: 20,
        capacity: 4,
        work_ms: 400,
    },
];
const ENGINES: usize = 1;
const DEADLINE_MS: u64 = 4_000;
const TICK_MS: u64 = 100;
const REVIEW_MS: u64 = 1_000;
const RUN_MS: u64 = 60_000;
const WARM_UP_MS: u64 = 10_000;
const BURST_MS: std::ops::Range<u64> = 25_000..35_000;

struct ModelPool {
    name: &'static str,
    targets: usize,
    capacity: usize,
    work_ms: u64,
}

struct ModelNode {
    pools: Vec<Arc<TargetPool>>,
    numbers: Vec<PoolIndex>,
    loads: Vec<PoolLoad>,
    times: Vec<StageTimes>,
    machine: AdmissionController,
}

struct ModelRequest {
    node: usize,
    workspace: usize,
    arrived: u64,
    conversation: usize,
    entry: Option<AdmissionId>,
    stage: usize,
    /// When the present call began, and at which target.
    call: Option<OpenCall>,
    done: bool,
}

struct OpenCall {
    guard: InFlightGuard,
    target: usize,
    sent: u64,
    begun: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive,
    CallDone { number: usize, stage: usize },
    Deadline(usize),
    Tick,
}

/// Nodes, targets and requests of one run.
pub struct ModelWorld<'run> {
    scenario: &'run Scenario,
    choice: PolicyChoice,
    rng: Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, ModelEvent)>>,
    sequence: u64,
    nodes: Vec<ModelNode>,
    targets: Vec<Vec<ModelTarget>>,
    requests: Vec<ModelRequest>,
    by_entry: Vec<std::collections::HashMap<AdmissionId, usize>>,
    prefixes: Vec<PromptPrefix>,
    workspaces: Vec<WorkspaceHash>,
    tally: OutcomeTally,
}

impl<'run> ModelWorld<'run> {
    pub fn new(scenario: &'run Scenario, choice: PolicyChoice, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let prefixes = (0..CONVERSATIONS).map(|_| {
            let prompt: Vec<u8> = (0..2_048).map(|_| rng.u8(..)).collect();
            PromptPrefix::of(&prompt, 0)
        });
        let prefixes = prefixes.collect();
        let workspace = |index| WorkspaceId::new(&format!("workspace-{index}")).unwrap();
        Self {
            scenario,
            choice,
            rng,
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            nodes: (0..NODES).map(|node| new_node(node, choice)).collect(),
            targets: POOLS
                .iter()
                .map(|pool| new_targets(pool, scenario))
                .collect(),
            requests: Vec::new(),
            by_entry: (0..NODES)
                .map(|_| std::collections::HashMap::new())
                .collect(),
            prefixes,
            workspaces: (0..WORKSPACES)
                .map(|index| WorkspaceHash::of(&workspace(index)))
                .collect(),
            tally: OutcomeTally {
                arrived_by: vec![0; WORKSPACES],
                in_time_by: vec![0; WORKSPACES],
                ..OutcomeTally::default()
            },
        }
    }

    /// Runs to the end and returns what was counted after the warm-up.
    pub fn run(mut self) -> OutcomeTally {
        self.schedule(0, ModelEvent::Arrive);
        self.schedule(0, ModelEvent::Tick);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                ModelEvent::Arrive => self.on_arrive(),
                ModelEvent::CallDone { number, stage } => self.on_call_done(number, stage),
                ModelEvent::Deadline(number) => self.end_request(number),
                ModelEvent::Tick => self.on_tick(),
            }
        }
        let engine = &POOLS[ENGINES];
        let slots = as_f64((engine.targets * engine.capacity) as u64);
        self.tally.mean_work = as_f64(engine.work_ms);
        self.tally.capacity = slots * as_f64(RUN_MS - WARM_UP_MS) / as_f64(engine.work_ms);
        self.tally.busy = self.targets[ENGINES].iter().map(|target| target.busy).sum();
        self.tally.busy *= as_f64(RUN_MS - WARM_UP_MS) / as_f64(RUN_MS);
        self.tally
    }

    fn clock(&self) -> ClockTime {
        ClockTime::from_millis(self.now + 1_000_000)
    }

    fn schedule(&mut self, delay: u64, event: ModelEvent) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence, event);
        self.events.push(Reverse(key));
    }

    /// An arrival, and the time of the next one.
    fn on_arrive(&mut self) {
        let engine = &POOLS[ENGINES];
        let slots = as_f64((engine.targets * engine.capacity) as u64);
        let rate = slots / as_f64(engine.work_ms);
        let base = self.scenario.load * rate;
        let burst = if BURST_MS.contains(&self.now) {
            self.scenario.burst * rate
        } else {
            0.0
        };
        if self.now < RUN_MS {
            let bursting = self.rng.f64() * (base + burst) < burst;
            let workspace = if bursting {
                0
            } else {
                self.rng.usize(..WORKSPACES)
            };
            self.admit(workspace);
            let wait = -(1.0 - self.rng.f64()).ln() / (base + burst);
            self.schedule_fraction(wait);
        }
    }

    /// Arrivals come more often than once a millisecond at times, so the
    /// fraction is drawn.
    fn schedule_fraction(&mut self, wait: f64) {
        let whole = scale(1, wait.floor());
        let extra = u64::from(self.rng.f64() < wait.fract());
        self.schedule(whole + extra, ModelEvent::Arrive);
    }

    fn admit(&mut self, workspace: usize) {
        let skewed = self.rng.f64() < self.scenario.skew;
        let node = if skewed { 0 } else { self.rng.usize(..NODES) };
        let counted = self.now >= WARM_UP_MS;
        if counted {
            self.tally.arrived += 1;
            self.tally.arrived_by[workspace] += 1;
        }
        let clock = self.clock();
        let stages = self.demands(node);
        let arrival = RequestArrival {
            workspace: self.workspaces[workspace],
            deadline: clock + TimeSpan::from_millis(DEADLINE_MS),
            stages: &stages,
        };
        match self.nodes[node].machine.admit(&arrival, clock) {
            AdmissionDecision::Refused(_) => self.tally.refused += u32::from(counted),
            AdmissionDecision::Admitted(entry) => {
                let number = self.requests.len();
                self.by_entry[node].insert(entry, number);
                let conversation = self.rng.usize(..CONVERSATIONS);
                self.requests.push(ModelRequest {
                    node,
                    workspace,
                    arrived: self.now,
                    conversation,
                    entry: Some(entry),
                    stage: 0,
                    call: None,
                    done: false,
                });
                self.schedule(DEADLINE_MS, ModelEvent::Deadline(number));
                self.ask_slot(number);
            }
        }
    }

    fn demands(&self, node: usize) -> Vec<StageDemand> {
        let node = &self.nodes[node];
        let share = match self.scenario.objective {
            RouteObjective::Attainment => 0.75,
            RouteObjective::Cost => 0.9,
        };
        let demand = |index: usize| {
            let unknown = TimeSpan::from_millis(POOLS[index].work_ms);
            let load = &node.loads[index];
            let used = load.others / load.capacity.max(1.0);
            StageDemand {
                pool: node.numbers[index],
                time: node.times[index].time(share, used, unknown),
                work: node.times[index].work(unknown),
            }
        };
        (0..POOLS.len()).map(demand).collect()
    }

    fn ask_slot(&mut self, number: usize) {
        let clock = self.clock();
        let request = &self.requests[number];
        let Some(entry) = request.entry else { return };
        match self.nodes[request.node].machine.start(entry, clock) {
            StartDecision::Started => self.send_call(number),
            StartDecision::Waiting => {}
            StartDecision::Expired => self.end_request(number),
        }
    }

    fn send_call(&mut self, number: usize) {
        let clock = self.clock();
        let seed = self.rng.u64(..);
        let request = &mut self.requests[number];
        let stage = request.stage;
        let none = PromptPrefix::none();
        let prompted = stage == ENGINES && self.scenario.prompt_ms > 0;
        let prefix = if prompted {
            &self.prefixes[request.conversation]
        } else {
            &none
        };
        let ask = RouteRequest {
            seed,
            mode: self.choice.routing,
            objective: self.scenario.objective,
            model: None,
            prefix,
            prompt_time: TimeSpan::from_millis(self.scenario.prompt_ms),
            tried: &[],
        };
        let pool = &self.nodes[request.node].pools[stage];
        let Some(guard) = pool.choose(&ask, clock) else {
            return self.end_request(number);
        };
        if prompted {
            let slot = guard.vm().stats.short_id();
            pool.stats().cache_hints.record_prompt(slot, prefix, clock);
        }
        let name = guard.vm().target.as_str();
        let target = name.rsplit('-').next().and_then(|part| part.parse().ok());
        let target = target.unwrap_or(0);
        // Half of the work is fixed, half is exponential.
        let mean = POOLS[stage].work_ms;
        let random = 0.5 - 0.5 * (1.0 - self.rng.f64()).ln();
        let call = ModelCall {
            number,
            work: scale(mean, random).max(1),
            prompt: if prompted { self.scenario.prompt_ms } else { 0 },
            conversation: prompted.then_some(request.conversation),
        };
        request.call = Some(OpenCall {
            guard,
            target,
            sent: self.now,
            begun: None,
        });
        self.targets[stage][target].push(call);
        self.start_calls(stage, target);
    }

    fn start_calls(&mut self, stage: usize, target: usize) {
        while let Some(started) = self.targets[stage][target].start() {
            let number = started.number;
            if let Some(call) = &mut self.requests[number].call {
                call.begun = Some(self.now);
            }
            self.schedule(started.takes, ModelEvent::CallDone { number, stage });
        }
    }

    fn on_call_done(&mut self, number: usize, stage: usize) {
        let clock = self.clock();
        let request = &mut self.requests[number];
        if request.done || request.stage != stage {
            return;
        }
        let Some(call) = request.call.take() else {
            return;
        };
        let begun = call.begun.unwrap_or(self.now);
        let target = &mut self.targets[stage][call.target];
        if !target.end(number, self.now - begun) {
            return;
        }
        let report = target.report(self.now, self.scenario.report_lag);
        call.guard.report(&report, clock);
        let _ = call.guard.finish(CallOutcome::Answered, clock);
        let took = TimeSpan::from_millis(self.now - call.sent);
        let node = &mut self.nodes[request.node];
        let load = &node.loads[stage];
        let used = load.others / load.capacity.max(1.0);
        node.times[stage].record(took, report.service_time, used);
        let mut actions = Vec::new();
        if let Some(entry) = request.entry {
            node.machine.finish(entry, took, clock, &mut actions);
        }
        request.stage += 1;
        let node = request.node;
        let last = request.stage == POOLS.len();
        self.start_calls(stage, call.target);
        self.perform(node, &actions);
        if last {
            self.count_answer(number);
            self.end_request(number);
        } else {
            self.ask_slot(number);
        }
    }

    fn count_answer(&mut self, number: usize) {
        let request = &self.requests[number];
        if request.arrived >= WARM_UP_MS {
            self.tally.in_time += 1;
            self.tally.in_time_by[request.workspace] += 1;
            self.tally.latencies.push(self.now - request.arrived);
        }
    }

    /// Ends a request: it is answered, or its deadline has passed.
    fn end_request(&mut self, number: usize) {
        let clock = self.clock();
        let request = &mut self.requests[number];
        if request.done {
            return;
        }
        request.done = true;
        let unanswered = request.stage < POOLS.len();
        self.tally.late += u32::from(unanswered && request.arrived >= WARM_UP_MS);
        let node = request.node;
        let mut actions = Vec::new();
        if let Some(entry) = request.entry.take() {
            self.by_entry[node].remove(&entry);
            self.nodes[node].machine.remove(entry, clock, &mut actions);
        }
        if let Some(call) = request.call.take() {
            let ran = call.begun.map_or(0, |begun| self.now - begun);
            let stage = request.stage;
            drop(call.guard);
            self.targets[stage][call.target].cancel(number, ran);
            self.start_calls(stage, call.target);
        }
        self.perform(node, &actions);
    }

    fn perform(&mut self, node: usize, actions: &[AdmissionAction]) {
        for action in actions {
            match action {
                AdmissionAction::Start(entry) => {
                    if let Some(number) = self.by_entry[node].get(entry).copied() {
                        self.send_call(number);
                    }
                }
                AdmissionAction::Expire(entry) => {
                    if let Some(number) = self.by_entry[node].get(entry).copied() {
                        self.end_request(number);
                    }
                }
            }
        }
    }

    fn on_tick(&mut self) {
        let clock = self.clock();
        for index in 0..NODES {
            let mut actions = Vec::new();
            let node = &mut self.nodes[index];
            for (stage, pool) in node.pools.iter().enumerate() {
                if self.now.is_multiple_of(REVIEW_MS) {
                    let _ = pool.eject_slow(clock);
                }
                let load = pool.load(NODES, clock);
                let number = node.numbers[stage];
                node.machine.update(number, &load, clock, &mut actions);
                node.loads[stage] = load;
            }
            self.perform(index, &actions);
        }
        if self.now < RUN_MS {
            self.schedule(TICK_MS, ModelEvent::Tick);
        }
    }
}

fn new_node(index: usize, choice: PolicyChoice) -> ModelNode {
    let zone = ZoneName::new(&format!("zone-{}", index % 3)).unwrap();
    let rule = TargetMapConfig::new(NodeId::new(&format!("node-{index}")).unwrap(), zone);
    let entries = POOLS.iter().flat_map(pool_entries);
    let map = TargetMap::build(&rule, entries, &TargetMap::default());
    let pool = |pool: &ModelPool| {
        let name = PoolName::new(pool.name).unwrap();
        Arc::clone(map.pool(&name).unwrap())
    };
    let mut machine = AdmissionController::new(AdmissionRule {
        mode: choice.admission,
        ..AdmissionRule::default()
    });
    ModelNode {
        pools: POOLS.iter().map(pool).collect(),
        numbers: POOLS.iter().map(|_| machine.add_pool()).collect(),
        loads: vec![PoolLoad::default(); POOLS.len()],
        times: POOLS.iter().map(|_| StageTimes::default()).collect(),
        machine,
    }
}

fn pool_entries(pool: &ModelPool) -> Vec<TargetEntry> {
    let entry = |index: usize| TargetEntry {
        target: TargetId::new(&format!("{}-{index}", pool.name)).unwrap(),
        entry: VmEntry {
            role: VmRole::Target,
            address: "127.0.0.1:80".parse().unwrap(),
            region: "south".parse().unwrap(),
            zone: ZoneName::new(&format!("zone-{}", index % 3)).unwrap(),
            state: VmState::Live,
            pool: Some(PoolName::new(pool.name).unwrap()),
            models: Vec::new(),
            checks_fence: false,
            capacity: u32::try_from(pool.capacity).ok(),
        },
    };
    (0..pool.targets).map(entry).collect()
}

fn new_targets(pool: &ModelPool, scenario: &Scenario) -> Vec<ModelTarget> {
    let slowness = |index: usize| {
        if index == 0 && pool.name == POOLS[ENGINES].name {
            scenario.slowness
        } else {
            1.0
        }
    };
    let targets = 0..pool.targets;
    targets
        .map(|index| ModelTarget::new(pool.capacity, slowness(index)))
        .collect()
}
