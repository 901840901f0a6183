use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap, HashMap},
    sync::Arc,
};

use fastrand::Rng;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{PoolName, ZoneName},
    routes::GraphStage,
    staging::{
        CallEnd, GraphProgress, PathEstimate, PieceEnd, SetEnd, SetFailure, SetNumber, StageCall,
        StageSet,
    },
};

use super::{LoadBurst, RequestKind, SimulatedService, simulated_request::SimulatedRequest};

/// Network latency between two nodes, one way.
const NODE_LATENCY_MS: u64 = 4;
/// Network time of a call to its target and back.
const CALL_NETWORK_MS: u64 = 2;
/// Time between the end of the stages and the answer's first event.
const ENGINE_MS: u64 = 120;
/// Time between two updates of the known backlogs.
const BACKLOG_INTERVAL_MS: u64 = 100;
/// Bandwidth between two targets, in bytes per millisecond.
const LINK_BYTES_PER_MS: f64 = 1_250_000.0;
/// Size in bytes from which results are produced in the zone that reads them.
const LARGE_RESULTS: u64 = 1_000_000;

/// Counts of one kind of request by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindResult {
    pub requests: usize,
    pub on_time: usize,
    pub late: usize,
    pub refused: usize,
    /// Requests that were refused or failed after more than half of their time.
    pub refused_late: usize,
    pub failed: usize,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationResult {
    pub kinds: Vec<KindResult>,
    /// Bytes of results read by stages.
    pub read_bytes: f64,
    /// Bytes of results read from another zone.
    pub cross_zone_bytes: f64,
    /// Value of the requests that arrived in each second: earned, and possible.
    pub seconds: Vec<(f64, f64)>,
    /// For each kind, the requests that arrived in each second: on time, and all.
    pub goals: Vec<Vec<(usize, usize)>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Offer(usize, usize),
    Results(usize, usize),
    CallDone(usize, usize, usize),
    FirstEvent(usize),
}

/// Simulates a load on some services of stages.
#[derive(Debug)]
pub struct StageSimulation {
    pub services: Vec<SimulatedService>,
    pub kinds: Vec<RequestKind>,
    pub bursts: Vec<LoadBurst>,
    pub length_ms: u64,
    rng: Rng,
    now: ClockTime,
    events: BinaryHeap<Reverse<(u64, u64, SimulationEvent)>>,
    order: u64,
    requests: Vec<SimulatedRequest>,
    calls: Vec<StageCall>,
    sets: HashMap<(usize, usize, SetNumber), (usize, usize)>,
    results: HashMap<(usize, usize), Vec<String>>,
    collectors_by_result: HashMap<String, (usize, usize)>,
    outcome: SimulationResult,
}

impl StageSimulation {
    pub fn new(
        services: Vec<SimulatedService>,
        kinds: Vec<RequestKind>,
        bursts: Vec<LoadBurst>,
        length_ms: u64,
        seed: u64,
    ) -> Self {
        Self {
            services,
            kinds,
            bursts,
            length_ms,
            rng: Rng::with_seed(seed),
            now: ClockTime::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            requests: Vec::new(),
            calls: Vec::new(),
            sets: HashMap::new(),
            results: HashMap::new(),
            collectors_by_result: HashMap::new(),
            outcome: SimulationResult::default(),
        }
    }

    /// Runs the simulation until all requests have ended.
    pub fn run(mut self) -> SimulationResult {
        self.outcome.kinds = vec![KindResult::default(); self.kinds.len()];
        let seconds = usize::try_from(self.length_ms / 1_000).expect("a length") + 1;
        self.outcome.seconds = vec![(0.0, 0.0); seconds];
        self.outcome.goals = vec![vec![(0, 0); seconds]; self.kinds.len()];
        let last = self.length_ms + 15_000;
        for millis in 0..last {
            self.now = ClockTime::from_millis(millis);
            if millis < self.length_ms {
                self.generate_arrivals(millis);
            }
            while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
                if at > millis {
                    break;
                }
                self.events.pop();
                self.handle(event);
            }
            if millis % BACKLOG_INTERVAL_MS == 0 {
                for service in &mut self.services {
                    let index = self.rng.usize(..service.collectors.len());
                    service.known_backlog = service.collectors[index].backlog(self.now);
                }
            }
            for service in 0..self.services.len() {
                for shard in 0..self.services[service].collectors.len() {
                    if self.services[service].wakeups[shard] <= self.now {
                        self.run_queue(service, shard);
                    }
                }
            }
        }
        self.outcome
    }

    fn schedule(&mut self, millis: u64, event: SimulationEvent) {
        self.order += 1;
        let at = self.now.as_millis() + millis;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn generate_arrivals(&mut self, millis: u64) {
        for kind in 0..self.kinds.len() {
            let active = self.bursts.iter().filter(|burst| {
                burst.span.contains(&millis) && burst.kind.is_none_or(|burst| burst == kind)
            });
            let factor: f64 = active.map(|burst| burst.factor).product();
            // Requests arrive in groups of three on average.
            let rate = self.kinds[kind].per_second * factor / 3_000.0;
            if self.rng.f64() < rate {
                for _ in 0..self.rng.usize(1..6) {
                    self.start_request(kind);
                }
            }
        }
    }

    fn start_request(&mut self, kind: usize) {
        let spec = self.kinds[kind].clone();
        self.outcome.kinds[kind].requests += 1;
        let second = usize::try_from(self.now.as_millis() / 1_000).expect("a second");
        self.outcome.seconds[second].1 += spec.value.0;
        self.outcome.goals[kind][second].1 += 1;
        let stages: Vec<GraphStage> = spec
            .stages
            .iter()
            .map(|stage| GraphStage {
                service: pool(stage.service),
                after: stage.after.into_iter().collect(),
                result_bytes: stage.bytes,
            })
            .collect();
        let pieces: Vec<u32> = spec
            .stages
            .iter()
            .map(|stage| self.draw_pieces(stage))
            .collect();
        let estimate = PathEstimate::new(&stages, &pieces, |stage| {
            let service = &self.services[service_index(&stage.service)];
            Some((service.spec, service.known_backlog))
        });
        let deadline = self.now + TimeSpan::from_millis(spec.deadline_ms);
        if self.now + estimate.total() > deadline {
            self.outcome.kinds[kind].refused += 1;
            return;
        }
        let stages: Arc<[GraphStage]> = stages.into();
        let progress = GraphProgress::new(Arc::clone(&stages), &pieces).expect("pieces");
        let shards = spec
            .stages
            .iter()
            .map(|stage| {
                let service = &self.services[stage.service];
                self.rng.usize(..service.targets) % service.collectors.len()
            })
            .collect();
        let number = self.requests.len();
        self.requests.push(SimulatedRequest {
            kind,
            goal_at: self.now + TimeSpan::from_millis(spec.goal_ms),
            deadline,
            stages,
            progress,
            estimate,
            shards,
            is_refusable: true,
            is_finished: false,
            sets: Vec::new(),
        });
        self.start_ready_stages(number);
    }

    fn draw_pieces(&mut self, stage: &super::KindStage) -> u32 {
        if self.rng.f64() >= stage.probability {
            return 0;
        }
        let deviation = self.rng.f64() + self.rng.f64() + self.rng.f64() - 1.5;
        round(stage.pieces * (1.0 + 2.0 * stage.variation * deviation)).max(1)
    }

    fn start_ready_stages(&mut self, number: usize) {
        let request = &mut self.requests[number];
        let ready = request.progress.take_ready(&request.estimate);
        for stage in ready {
            self.schedule(NODE_LATENCY_MS, SimulationEvent::Offer(number, stage));
        }
        if self.requests[number].progress.is_done() {
            self.schedule(ENGINE_MS, SimulationEvent::FirstEvent(number));
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Offer(request, stage) => self.offer_set(request, stage),
            SimulationEvent::Results(request, stage) => {
                let names = self.results.remove(&(request, stage)).expect("results");
                let expires = self.now + TimeSpan::from_millis(3_700);
                let entry = &mut self.requests[request];
                entry.is_refusable = false;
                entry.progress.finish(stage, names, expires);
                let freed = entry.progress.take_unneeded();
                self.free_results(freed);
                self.start_ready_stages(request);
            }
            SimulationEvent::CallDone(service, shard, call) => {
                let call = self.calls[call].clone();
                let zone = self.services[service].collectors[shard]
                    .zone_of(&call.target)
                    .cloned()
                    .expect("a zone");
                let names = call.pieces.iter().map(|piece| {
                    let name = format!("{zone}/{service}.{shard}.{}.{}", piece.set.0, piece.piece);
                    self.collectors_by_result
                        .insert(name.clone(), (service, shard));
                    PieceEnd::Held(name)
                });
                let end = CallEnd::Answered(names.collect());
                let ends =
                    self.services[service].collectors[shard].finish(call.number, end, self.now);
                self.deliver(service, shard, ends);
                self.services[service].wakeups[shard] = self.now;
            }
            SimulationEvent::FirstEvent(request) => {
                let entry = &mut self.requests[request];
                let freed = entry.progress.take_all();
                entry.is_finished = true;
                let (kind, goal_at, deadline) = (entry.kind, entry.goal_at, entry.deadline);
                self.free_results(freed);
                let value = self.kinds[kind].value;
                let goal = self.kinds[kind].goal_ms;
                let second = (goal_at.as_millis() - goal) / 1_000;
                let second = usize::try_from(second).expect("a second");
                let result = &mut self.outcome.kinds[kind];
                let earned = if self.now <= goal_at {
                    result.on_time += 1;
                    self.outcome.goals[kind][second].0 += 1;
                    value.0
                } else if self.now <= deadline {
                    result.late += 1;
                    value.1
                } else {
                    result.failed += 1;
                    0.0
                };
                self.outcome.seconds[second].0 += earned;
            }
        }
    }

    fn offer_set(&mut self, number: usize, stage: usize) {
        let request = &self.requests[number];
        if request.is_finished {
            return;
        }
        let spec = &request.stages[stage];
        let service = service_index(&spec.service);
        let shard = request.shards[stage];
        let after = request.estimate.time_after(stage);
        let inputs: Vec<(String, u64)> = request
            .progress
            .inputs_sized(stage)
            .map(|(name, bytes)| (result_zone(name).to_owned(), bytes))
            .collect();
        let read: u64 = inputs.iter().map(|(_, bytes)| bytes).sum();
        let pieces = request.progress.pieces(stage);
        let is_large = read * u64::from(pieces) >= LARGE_RESULTS;
        let preferred_zone = inputs
            .first()
            .filter(|_| is_large)
            .map(|(zone, _)| ZoneName::new(zone).expect("a zone"));
        let mut reached = vec![stage];
        let mut downstream = Vec::new();
        for (index, other) in request.stages.iter().enumerate() {
            if other.after.iter().any(|before| reached.contains(before)) {
                reached.push(index);
                downstream.push(other.service.clone());
            }
        }
        let set = StageSet {
            pieces,
            piece_bytes: spec.result_bytes,
            preferred_zone,
            priority: self.kinds[request.kind].priority,
            downstream,
            goal_at: ClockTime::from_millis(
                request
                    .goal_at
                    .as_millis()
                    .saturating_sub(after.as_millis()),
            ),
            deadline: ClockTime::from_millis(
                request
                    .deadline
                    .as_millis()
                    .saturating_sub(after.as_millis()),
            ),
            refusable: request.is_refusable,
            movable: false,
            route: self.kinds[request.kind].route.to_owned(),
            workspace: self.kinds[request.kind].workspace.to_owned(),
        };
        let offered = self.services[service].collectors[shard].offer(set, self.now);
        let Ok(set) = offered else {
            let kind = self.requests[number].kind;
            self.outcome.kinds[kind].refused += 1;
            self.abandon(number);
            return;
        };
        self.sets.insert((service, shard, set), (number, stage));
        self.requests[number].sets.push((service, shard, set));
        self.services[service].wakeups[shard] = self.now;
    }

    fn abandon(&mut self, number: usize) {
        self.requests[number].is_finished = true;
        for (service, shard, set) in std::mem::take(&mut self.requests[number].sets) {
            let unused = self.services[service].collectors[shard].cancel(set);
            self.services[service].collectors[shard].free(&unused);
        }
        let freed = self.requests[number].progress.take_all();
        self.free_results(freed);
    }

    fn free_results(&mut self, freed: Vec<(PoolName, Vec<String>)>) {
        for name in freed.into_iter().flat_map(|(_, names)| names) {
            if let Some((service, shard)) = self.collectors_by_result.remove(&name) {
                self.services[service].collectors[shard].free(&[name]);
            }
        }
    }

    fn deliver(&mut self, service: usize, shard: usize, ends: Vec<SetEnd>) {
        for end in ends {
            self.services[service].collectors[shard].free(&end.unused);
            let Some((request, stage)) = self.sets.remove(&(service, shard, end.set)) else {
                continue;
            };
            match end.outcome {
                Ok(names) if self.requests[request].is_finished => {
                    self.services[service].collectors[shard].free(&names);
                }
                Ok(names) => {
                    self.results.insert((request, stage), names);
                    self.schedule(NODE_LATENCY_MS, SimulationEvent::Results(request, stage));
                }
                Err(_) if self.requests[request].is_finished => {}
                Err(failure) => {
                    let entry = &self.requests[request];
                    let left = self.now.until(entry.deadline).as_millis();
                    let is_refused_late = left * 2 < self.kinds[entry.kind].deadline_ms;
                    let result = &mut self.outcome.kinds[entry.kind];
                    result.refused_late += usize::from(is_refused_late);
                    match failure {
                        SetFailure::Crowded { .. } => result.refused += 1,
                        _ => result.failed += 1,
                    }
                    self.abandon(request);
                }
            }
        }
    }

    fn run_queue(&mut self, service: usize, shard: usize) {
        let now = self.now;
        let backlogged: BTreeSet<PoolName> = (0..self.services.len())
            .filter(|other| {
                let other = &self.services[*other];
                other.known_backlog.total > other.spec.backlog_limit()
            })
            .map(pool)
            .collect();
        let queue = &mut self.services[service].collectors[shard];
        queue.set_backlogged(backlogged);
        let late = queue.shed(now);
        self.deliver(service, shard, late);
        while let Some(call) = self.services[service].collectors[shard].plan(now) {
            let millis = self.call_ms(service, shard, &call);
            self.calls.push(call);
            let number = self.calls.len() - 1;
            self.schedule(millis, SimulationEvent::CallDone(service, shard, number));
        }
        let next = self.services[service].collectors[shard].next_wakeup(now);
        let later = now + TimeSpan::from_millis(1);
        let never = now + TimeSpan::from_secs(1);
        self.services[service].wakeups[shard] = next.map_or(never, |next| next.max(later));
    }

    fn call_ms(&mut self, service: usize, shard: usize, call: &StageCall) -> u64 {
        let spec = self.services[service].spec;
        let zone = self.services[service].collectors[shard]
            .zone_of(&call.target)
            .cloned()
            .expect("a zone");
        let mut millis = spec.call_ms;
        for piece in &call.pieces {
            let Some((request, stage)) = self.sets.get(&(service, shard, piece.set)) else {
                continue;
            };
            let request = &self.requests[*request];
            millis += spec.piece_ms * self.kinds[request.kind].stages[*stage].time_factor;
            for (name, bytes) in request.progress.inputs_sized(*stage) {
                let bytes = f64::from(u32::try_from(bytes).expect("a size"));
                millis += bytes / LINK_BYTES_PER_MS;
                self.outcome.read_bytes += bytes;
                if result_zone(name) != zone.as_str() {
                    self.outcome.cross_zone_bytes += bytes;
                }
            }
        }
        u64::from(round(millis * self.services[service].slowdown)) + CALL_NETWORK_MS
    }
}

// The cast saturates.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round(number: f64) -> u32 {
    number.round() as u32
}

fn pool(service: usize) -> PoolName {
    PoolName::new(&format!("s{service}")).expect("a name")
}

fn service_index(name: &PoolName) -> usize {
    name.as_str()[1..].parse().expect("a service index")
}

fn result_zone(result: &str) -> &str {
    result.split('/').next().expect("a zone")
}
