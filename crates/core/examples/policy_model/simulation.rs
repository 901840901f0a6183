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
    run_stats::RunStats,
    scenario::{PolicyChoice, Scenario},
};

const NODE_COUNT: usize = 9;
const WORKSPACE_COUNT: usize = 5;
const CONVERSATION_COUNT: usize = 900;
/// The pool of each stage.
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
/// Index of the engines in `POOLS`.
const ENGINE_STAGE: usize = 1;
const DEADLINE_MS: u64 = 4_000;
/// Interval at which nodes update the load of their pools, in milliseconds.
const TICK_MS: u64 = 100;
/// Interval at which nodes eject slow targets, in milliseconds.
const EJECTION_MS: u64 = 1_000;
/// Time in which requests arrive, in milliseconds.
const RUN_MS: u64 = 60_000;
/// Time at the start of a run whose requests are not counted, in milliseconds.
const WARM_UP_MS: u64 = 10_000;
/// Time of the first workspace's burst, in milliseconds.
const BURST_MS: std::ops::Range<u64> = 25_000..35_000;

struct ModelPool {
    name: &'static str,
    targets: usize,
    /// Number of slots of each target.
    capacity: usize,
    /// Mean run time of a call, in milliseconds.
    work_ms: u64,
}

struct ModelNode {
    pools: Vec<Arc<TargetPool>>,
    pool_indices: Vec<PoolIndex>,
    loads: Vec<PoolLoad>,
    times: Vec<StageTimes>,
    controller: AdmissionController,
}

struct ModelRequest {
    node: usize,
    workspace: usize,
    arrived_at: u64,
    conversation: usize,
    admission: Option<AdmissionId>,
    stage: usize,
    /// The current call, if one has been sent.
    call: Option<OpenCall>,
    done: bool,
}

struct OpenCall {
    guard: InFlightGuard,
    target: usize,
    sent_at: u64,
    /// When the target started to run the call.
    started_at: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive,
    CallDone { request_index: usize, stage: usize },
    Deadline(usize),
    Tick,
}

/// The state of one run: nodes, targets, requests and pending events.
pub struct Simulation<'run> {
    scenario: &'run Scenario,
    choice: PolicyChoice,
    rng: Rng,
    /// Simulated time in milliseconds.
    now: u64,
    /// Pending events, ordered by time and then by sequence number.
    events: BinaryHeap<Reverse<(u64, u64, ModelEvent)>>,
    sequence: u64,
    nodes: Vec<ModelNode>,
    /// Targets of each stage.
    targets: Vec<Vec<ModelTarget>>,
    requests: Vec<ModelRequest>,
    /// Indices of the admitted requests by admission id, for each node.
    by_admission: Vec<std::collections::HashMap<AdmissionId, usize>>,
    /// Prompt prefixes of each conversation.
    prefixes: Vec<PromptPrefix>,
    workspaces: Vec<WorkspaceHash>,
    stats: RunStats,
}

impl<'run> Simulation<'run> {
    pub fn new(scenario: &'run Scenario, choice: PolicyChoice, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let prefixes = (0..CONVERSATION_COUNT).map(|_| {
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
            nodes: (0..NODE_COUNT).map(|node| new_node(node, choice)).collect(),
            targets: POOLS
                .iter()
                .map(|pool| new_targets(pool, scenario))
                .collect(),
            requests: Vec::new(),
            by_admission: (0..NODE_COUNT)
                .map(|_| std::collections::HashMap::new())
                .collect(),
            prefixes,
            workspaces: (0..WORKSPACE_COUNT)
                .map(|index| WorkspaceHash::of(&workspace(index)))
                .collect(),
            stats: RunStats {
                arrived_by_workspace: vec![0; WORKSPACE_COUNT],
                in_time_by_workspace: vec![0; WORKSPACE_COUNT],
                ..RunStats::default()
            },
        }
    }

    /// Runs the simulation to its end and returns the statistics after the warm-up.
    pub fn run(mut self) -> RunStats {
        self.schedule(0, ModelEvent::Arrive);
        self.schedule(0, ModelEvent::Tick);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                ModelEvent::Arrive => self.on_arrive(),
                ModelEvent::CallDone {
                    request_index,
                    stage,
                } => self.on_call_done(request_index, stage),
                ModelEvent::Deadline(request_index) => self.end_request(request_index),
                ModelEvent::Tick => self.on_tick(),
            }
        }
        let engine = &POOLS[ENGINE_STAGE];
        let slots = as_f64((engine.targets * engine.capacity) as u64);
        self.stats.mean_work_ms = as_f64(engine.work_ms);
        self.stats.capacity = slots * as_f64(RUN_MS - WARM_UP_MS) / as_f64(engine.work_ms);
        self.stats.busy_ms = self.targets[ENGINE_STAGE]
            .iter()
            .map(|target| target.busy_ms)
            .sum();
        self.stats.busy_ms *= as_f64(RUN_MS - WARM_UP_MS) / as_f64(RUN_MS);
        self.stats
    }

    fn clock(&self) -> ClockTime {
        ClockTime::from_millis(self.now + 1_000_000)
    }

    fn schedule(&mut self, delay: u64, event: ModelEvent) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence, event);
        self.events.push(Reverse(key));
    }

    /// Admits a request and schedules the next arrival. The times between arrivals
    /// are exponentially distributed.
    fn on_arrive(&mut self) {
        let engine = &POOLS[ENGINE_STAGE];
        let slots = as_f64((engine.targets * engine.capacity) as u64);
        let rate = slots / as_f64(engine.work_ms);
        let base = self.scenario.load * rate;
        let burst = if BURST_MS.contains(&self.now) {
            self.scenario.burst * rate
        } else {
            0.0
        };
        if self.now < RUN_MS {
            let is_burst = self.rng.f64() * (base + burst) < burst;
            let workspace = if is_burst {
                0
            } else {
                self.rng.usize(..WORKSPACE_COUNT)
            };
            self.admit(workspace);
            let wait = -(1.0 - self.rng.f64()).ln() / (base + burst);
            self.schedule_arrival(wait);
        }
    }

    /// Schedules the next arrival after `wait` milliseconds. Event times are whole
    /// milliseconds, so the fraction is rounded up or down at random to keep the
    /// mean rate.
    fn schedule_arrival(&mut self, wait: f64) {
        let whole = scale(1, wait.floor());
        let extra = u64::from(self.rng.f64() < wait.fract());
        self.schedule(whole + extra, ModelEvent::Arrive);
    }

    fn admit(&mut self, workspace: usize) {
        let is_skewed = self.rng.f64() < self.scenario.skew;
        let node = if is_skewed {
            0
        } else {
            self.rng.usize(..NODE_COUNT)
        };
        let is_counted = self.now >= WARM_UP_MS;
        if is_counted {
            self.stats.arrived += 1;
            self.stats.arrived_by_workspace[workspace] += 1;
        }
        let clock = self.clock();
        let stages = self.demands(node);
        let arrival = RequestArrival {
            workspace: self.workspaces[workspace],
            deadline: clock + TimeSpan::from_millis(DEADLINE_MS),
            stages: &stages,
        };
        match self.nodes[node].controller.admit(&arrival, clock) {
            AdmissionDecision::Refused(_) => self.stats.refused += u32::from(is_counted),
            AdmissionDecision::Admitted(admission) => {
                let request_index = self.requests.len();
                self.by_admission[node].insert(admission, request_index);
                let conversation = self.rng.usize(..CONVERSATION_COUNT);
                self.requests.push(ModelRequest {
                    node,
                    workspace,
                    arrived_at: self.now,
                    conversation,
                    admission: Some(admission),
                    stage: 0,
                    call: None,
                    done: false,
                });
                self.schedule(DEADLINE_MS, ModelEvent::Deadline(request_index));
                self.start_stage(request_index);
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
                pool: node.pool_indices[index],
                time: node.times[index].time(share, used, unknown),
                work: node.times[index].work(unknown),
            }
        };
        (0..POOLS.len()).map(demand).collect()
    }

    fn start_stage(&mut self, request_index: usize) {
        let clock = self.clock();
        let request = &self.requests[request_index];
        let Some(admission) = request.admission else {
            return;
        };
        match self.nodes[request.node].controller.start(admission, clock) {
            StartDecision::Started => self.send_call(request_index),
            StartDecision::Waiting => {}
            StartDecision::Expired => self.end_request(request_index),
        }
    }

    fn send_call(&mut self, request_index: usize) {
        let clock = self.clock();
        let seed = self.rng.u64(..);
        let request = &mut self.requests[request_index];
        let stage = request.stage;
        let no_prefix = PromptPrefix::none();
        let has_prompt = stage == ENGINE_STAGE && self.scenario.prompt_ms > 0;
        let prefix = if has_prompt {
            &self.prefixes[request.conversation]
        } else {
            &no_prefix
        };
        let route_request = RouteRequest {
            seed,
            mode: self.choice.routing,
            objective: self.scenario.objective,
            model: None,
            prefix,
            prompt_time: TimeSpan::from_millis(self.scenario.prompt_ms),
            tried: &[],
        };
        let pool = &self.nodes[request.node].pools[stage];
        let Some(guard) = pool.choose(&route_request, clock) else {
            return self.end_request(request_index);
        };
        if has_prompt {
            let short_id = guard.vm().stats.short_id();
            pool.stats()
                .cache_hints
                .record_prompt(short_id, prefix, clock);
        }
        let target_id = guard.vm().target.as_str();
        let target = target_id
            .rsplit('-')
            .next()
            .and_then(|part| part.parse().ok());
        let target = target.unwrap_or(0);
        // Half of the run time is fixed, the other half is exponentially distributed.
        let mean = POOLS[stage].work_ms;
        let random = 0.5 - 0.5 * (1.0 - self.rng.f64()).ln();
        let call = ModelCall {
            request_index,
            work_ms: scale(mean, random).max(1),
            prompt_ms: if has_prompt {
                self.scenario.prompt_ms
            } else {
                0
            },
            conversation: has_prompt.then_some(request.conversation),
        };
        request.call = Some(OpenCall {
            guard,
            target,
            sent_at: self.now,
            started_at: None,
        });
        self.targets[stage][target].push(call);
        self.start_calls(stage, target);
    }

    fn start_calls(&mut self, stage: usize, target: usize) {
        while let Some(started) = self.targets[stage][target].start() {
            let request_index = started.request_index;
            if let Some(call) = &mut self.requests[request_index].call {
                call.started_at = Some(self.now);
            }
            self.schedule(
                started.run_ms,
                ModelEvent::CallDone {
                    request_index,
                    stage,
                },
            );
        }
    }

    fn on_call_done(&mut self, request_index: usize, stage: usize) {
        let clock = self.clock();
        let request = &mut self.requests[request_index];
        if request.done || request.stage != stage {
            return;
        }
        let Some(call) = request.call.take() else {
            return;
        };
        let started_at = call.started_at.unwrap_or(self.now);
        let target = &mut self.targets[stage][call.target];
        if !target.end(request_index, self.now - started_at) {
            return;
        }
        let report = target.report(self.now, self.scenario.report_lag_ms);
        call.guard.report(&report, clock);
        let _ = call.guard.finish(CallOutcome::Answered, clock);
        let took = TimeSpan::from_millis(self.now - call.sent_at);
        let node = &mut self.nodes[request.node];
        let load = &node.loads[stage];
        let used = load.others / load.capacity.max(1.0);
        node.times[stage].record(took, report.service_time, used);
        let mut actions = Vec::new();
        if let Some(admission) = request.admission {
            node.controller.finish(admission, took, clock, &mut actions);
        }
        request.stage += 1;
        let node = request.node;
        let last = request.stage == POOLS.len();
        self.start_calls(stage, call.target);
        self.perform(node, &actions);
        if last {
            self.count_answer(request_index);
            self.end_request(request_index);
        } else {
            self.start_stage(request_index);
        }
    }

    fn count_answer(&mut self, request_index: usize) {
        let request = &self.requests[request_index];
        if request.arrived_at >= WARM_UP_MS {
            self.stats.in_time += 1;
            self.stats.in_time_by_workspace[request.workspace] += 1;
            self.stats.latencies.push(self.now - request.arrived_at);
        }
    }

    /// Ends a request that was answered, expired or found no target.
    fn end_request(&mut self, request_index: usize) {
        let clock = self.clock();
        let request = &mut self.requests[request_index];
        if request.done {
            return;
        }
        request.done = true;
        let unanswered = request.stage < POOLS.len();
        self.stats.late += u32::from(unanswered && request.arrived_at >= WARM_UP_MS);
        let node = request.node;
        let mut actions = Vec::new();
        if let Some(admission) = request.admission.take() {
            self.by_admission[node].remove(&admission);
            self.nodes[node]
                .controller
                .remove(admission, clock, &mut actions);
        }
        if let Some(call) = request.call.take() {
            let ran = call
                .started_at
                .map_or(0, |started_at| self.now - started_at);
            let stage = request.stage;
            drop(call.guard);
            self.targets[stage][call.target].cancel(request_index, ran);
            self.start_calls(stage, call.target);
        }
        self.perform(node, &actions);
    }

    fn perform(&mut self, node: usize, actions: &[AdmissionAction]) {
        for action in actions {
            match action {
                AdmissionAction::Start(admission) => {
                    if let Some(request_index) = self.by_admission[node].get(admission).copied() {
                        self.send_call(request_index);
                    }
                }
                AdmissionAction::Expire(admission) => {
                    if let Some(request_index) = self.by_admission[node].get(admission).copied() {
                        self.end_request(request_index);
                    }
                }
            }
        }
    }

    fn on_tick(&mut self) {
        let clock = self.clock();
        for index in 0..NODE_COUNT {
            let mut actions = Vec::new();
            let node = &mut self.nodes[index];
            for (stage, pool) in node.pools.iter().enumerate() {
                if self.now.is_multiple_of(EJECTION_MS) {
                    let _ = pool.eject_slow(clock);
                }
                let load = pool.load(NODE_COUNT, clock);
                let pool_index = node.pool_indices[stage];
                node.controller
                    .update(pool_index, &load, clock, &mut actions);
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
    let config = TargetMapConfig::new(NodeId::new(&format!("node-{index}")).unwrap(), zone);
    let entries = POOLS.iter().flat_map(pool_entries);
    let map = TargetMap::build(&config, entries, &TargetMap::default());
    let pool = |pool: &ModelPool| {
        let name = PoolName::new(pool.name).unwrap();
        Arc::clone(map.pool(&name).unwrap())
    };
    let mut controller = AdmissionController::new(AdmissionRule {
        mode: choice.admission,
        ..AdmissionRule::default()
    });
    ModelNode {
        pools: POOLS.iter().map(pool).collect(),
        pool_indices: POOLS.iter().map(|_| controller.add_pool()).collect(),
        loads: vec![PoolLoad::default(); POOLS.len()],
        times: POOLS.iter().map(|_| StageTimes::default()).collect(),
        controller,
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
    let slow_factor = |index: usize| {
        if index == 0 && pool.name == POOLS[ENGINE_STAGE].name {
            scenario.slow_factor
        } else {
            1.0
        }
    };
    let targets = 0..pool.targets;
    targets
        .map(|index| ModelTarget::new(pool.capacity, slow_factor(index)))
        .collect()
}
