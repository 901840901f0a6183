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

use super::{LoadBurst, LoadKind, ModelService, model_request::ModelRequest};

/// Way between two nodes.
const HOP_MS: u64 = 4;
/// Way of a call to its target and back.
const NETWORK_MS: u64 = 2;
/// Time between the end of the stages and the first event.
const ENGINE_MS: u64 = 120;
/// Time between two looks at what waits elsewhere.
const HEAR_MS: u64 = 100;
/// Bytes in a millisecond on the way between two targets.
const LINK_BYTES: f64 = 1_250_000.0;
/// Size from which results are made where they are read.
const LARGE_RESULTS: u64 = 1_000_000;

/// What became of one kind of request.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindEnd {
    pub asked: usize,
    pub on_time: usize,
    pub late: usize,
    pub refused: usize,
    /// Those that were refused after half of their time.
    pub refused_late: usize,
    pub failed: usize,
}

/// What became of a day's requests.
#[derive(Clone, Debug, Default)]
pub struct DayEnd {
    pub kinds: Vec<KindEnd>,
    /// Bytes of results that stages read.
    pub read_bytes: f64,
    /// Those that they read in another zone.
    pub away_bytes: f64,
    /// Credit by second of arrival: earned, owed.
    pub seconds: Vec<(f64, f64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DayEvent {
    Offer(usize, usize),
    Results(usize, usize),
    Call(usize, usize, usize),
    First(usize),
}

/// A day's load on some services of stages.
#[derive(Debug)]
pub struct StageDay {
    pub services: Vec<ModelService>,
    pub kinds: Vec<LoadKind>,
    pub bursts: Vec<LoadBurst>,
    pub length_ms: u64,
    rng: Rng,
    now: ClockTime,
    events: BinaryHeap<Reverse<(u64, u64, DayEvent)>>,
    order: u64,
    requests: Vec<ModelRequest>,
    calls: Vec<StageCall>,
    sets: HashMap<(usize, usize, SetNumber), (usize, usize)>,
    results: HashMap<(usize, usize), Vec<String>>,
    owners: HashMap<String, (usize, usize)>,
    end: DayEnd,
}

impl StageDay {
    pub fn new(
        services: Vec<ModelService>,
        kinds: Vec<LoadKind>,
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
            owners: HashMap::new(),
            end: DayEnd::default(),
        }
    }

    /// Plays the day to its end.
    pub fn play(mut self) -> DayEnd {
        self.end.kinds = vec![KindEnd::default(); self.kinds.len()];
        let seconds = usize::try_from(self.length_ms / 1_000).expect("a length") + 1;
        self.end.seconds = vec![(0.0, 0.0); seconds];
        let last = self.length_ms + 15_000;
        for millis in 0..last {
            self.now = ClockTime::from_millis(millis);
            if millis < self.length_ms {
                self.arrive(millis);
            }
            while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
                if at > millis {
                    break;
                }
                self.events.pop();
                self.handle(event);
            }
            if millis % HEAR_MS == 0 {
                for service in &mut self.services {
                    let place = self.rng.usize(..service.collectors.len());
                    service.heard = service.collectors[place].backlog(self.now);
                }
            }
            for service in 0..self.services.len() {
                for shard in 0..self.services[service].collectors.len() {
                    if self.services[service].wakes[shard] <= self.now {
                        self.drive(service, shard);
                    }
                }
            }
        }
        self.end
    }

    fn after(&mut self, millis: u64, event: DayEvent) {
        self.order += 1;
        let at = self.now.as_millis() + millis;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn arrive(&mut self, millis: u64) {
        for kind in 0..self.kinds.len() {
            let active = self.bursts.iter().filter(|burst| {
                burst.span.contains(&millis) && burst.kind.is_none_or(|burst| burst == kind)
            });
            let times: f64 = active.map(|burst| burst.times).product();
            // Requests come in clumps of three on average.
            let rate = self.kinds[kind].per_second * times / 3_000.0;
            if self.rng.f64() < rate {
                for _ in 0..self.rng.usize(1..6) {
                    self.begin(kind);
                }
            }
        }
    }

    fn begin(&mut self, kind: usize) {
        let spec = self.kinds[kind].clone();
        self.end.kinds[kind].asked += 1;
        let second = usize::try_from(self.now.as_millis() / 1_000).expect("a second");
        self.end.seconds[second].1 += spec.worth.0;
        let stages: Vec<GraphStage> = spec
            .stages
            .iter()
            .map(|stage| GraphStage {
                service: pool(stage.service),
                after: stage.after.into_iter().collect(),
                result_bytes: stage.bytes,
            })
            .collect();
        let pieces: Vec<u32> = spec.stages.iter().map(|stage| self.draw(stage)).collect();
        let estimate = PathEstimate::new(&stages, &pieces, |stage| {
            let service = &self.services[place_of(&stage.service)];
            Some((service.spec, service.heard))
        });
        let dead_at = self.now + TimeSpan::from_millis(spec.dead_ms);
        if self.now + estimate.total() > dead_at {
            self.end.kinds[kind].refused += 1;
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
        self.requests.push(ModelRequest {
            kind,
            goal_at: self.now + TimeSpan::from_millis(spec.goal_ms),
            dead_at,
            stages,
            progress,
            estimate,
            shards,
            is_first: true,
            is_over: false,
            sets: Vec::new(),
        });
        self.go_on(number);
    }

    fn draw(&mut self, stage: &super::KindStage) -> u32 {
        if self.rng.f64() >= stage.share {
            return 0;
        }
        let vary = self.rng.f64() + self.rng.f64() + self.rng.f64() - 1.5;
        whole(stage.pieces * (1.0 + 2.0 * stage.spread * vary)).max(1)
    }

    fn go_on(&mut self, number: usize) {
        let request = &mut self.requests[number];
        let ready = request.progress.take_ready(&request.estimate);
        for stage in ready {
            self.after(HOP_MS, DayEvent::Offer(number, stage));
        }
        if self.requests[number].progress.is_done() {
            self.after(ENGINE_MS, DayEvent::First(number));
        }
    }

    fn handle(&mut self, event: DayEvent) {
        match event {
            DayEvent::Offer(request, stage) => self.offer(request, stage),
            DayEvent::Results(request, stage) => {
                let names = self.results.remove(&(request, stage)).expect("results");
                let expires = self.now + TimeSpan::from_millis(3_700);
                let owner = &mut self.requests[request];
                owner.is_first = false;
                owner.progress.finish(stage, names, expires);
                let spent = owner.progress.take_unneeded();
                self.free(spent);
                self.go_on(request);
            }
            DayEvent::Call(service, shard, call) => {
                let call = self.calls[call].clone();
                let zone = self.services[service].collectors[shard]
                    .zone_of(&call.target)
                    .cloned()
                    .expect("a zone");
                let names = call.pieces.iter().map(|piece| {
                    let name = format!("{zone}/{service}.{shard}.{}.{}", piece.set.0, piece.piece);
                    self.owners.insert(name.clone(), (service, shard));
                    PieceEnd::Held(name)
                });
                let end = CallEnd::Answered(names.collect());
                let ends =
                    self.services[service].collectors[shard].finish(call.number, end, self.now);
                self.deliver(service, shard, ends);
                self.services[service].wakes[shard] = self.now;
            }
            DayEvent::First(request) => {
                let owner = &mut self.requests[request];
                let spent = owner.progress.take_all();
                owner.is_over = true;
                let (kind, goal_at, dead_at) = (owner.kind, owner.goal_at, owner.dead_at);
                self.free(spent);
                let worth = self.kinds[kind].worth;
                let goal = self.kinds[kind].goal_ms;
                let second = (goal_at.as_millis() - goal) / 1_000;
                let second = usize::try_from(second).expect("a second");
                let end = &mut self.end.kinds[kind];
                let earned = if self.now <= goal_at {
                    end.on_time += 1;
                    worth.0
                } else if self.now <= dead_at {
                    end.late += 1;
                    worth.1
                } else {
                    end.failed += 1;
                    0.0
                };
                self.end.seconds[second].0 += earned;
            }
        }
    }

    fn offer(&mut self, number: usize, stage: usize) {
        let request = &self.requests[number];
        if request.is_over {
            return;
        }
        let spec = &request.stages[stage];
        let service = place_of(&spec.service);
        let shard = request.shards[stage];
        let after = request.estimate.time_after(stage);
        let inputs: Vec<(String, u64)> = request
            .progress
            .inputs_sized(stage)
            .map(|(name, bytes)| (zone_of(name).to_owned(), bytes))
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
        for (place, other) in request.stages.iter().enumerate() {
            if other.after.iter().any(|before| reached.contains(before)) {
                reached.push(place);
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
                    .dead_at
                    .as_millis()
                    .saturating_sub(after.as_millis()),
            ),
            refusable: request.is_first,
            movable: false,
        };
        let offered = self.services[service].collectors[shard].offer(set, self.now);
        let Ok(set) = offered else {
            let kind = self.requests[number].kind;
            self.end.kinds[kind].refused += 1;
            self.give_up(number);
            return;
        };
        self.sets.insert((service, shard, set), (number, stage));
        self.requests[number].sets.push((service, shard, set));
        self.services[service].wakes[shard] = self.now;
    }

    fn give_up(&mut self, number: usize) {
        self.requests[number].is_over = true;
        for (service, shard, set) in std::mem::take(&mut self.requests[number].sets) {
            let unused = self.services[service].collectors[shard].cancel(set);
            self.services[service].collectors[shard].free(&unused);
        }
        let spent = self.requests[number].progress.take_all();
        self.free(spent);
    }

    fn free(&mut self, spent: Vec<(PoolName, Vec<String>)>) {
        for name in spent.into_iter().flat_map(|(_, names)| names) {
            if let Some((service, shard)) = self.owners.remove(&name) {
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
                Ok(names) if self.requests[request].is_over => {
                    self.services[service].collectors[shard].free(&names);
                }
                Ok(names) => {
                    self.results.insert((request, stage), names);
                    self.after(HOP_MS, DayEvent::Results(request, stage));
                }
                Err(_) if self.requests[request].is_over => {}
                Err(failure) => {
                    let owner = &self.requests[request];
                    let left = self.now.until(owner.dead_at).as_millis();
                    let is_slow = left * 2 < self.kinds[owner.kind].dead_ms;
                    let end = &mut self.end.kinds[owner.kind];
                    end.refused_late += usize::from(is_slow);
                    match failure {
                        SetFailure::Crowded { .. } => end.refused += 1,
                        _ => end.failed += 1,
                    }
                    self.give_up(request);
                }
            }
        }
    }

    fn drive(&mut self, service: usize, shard: usize) {
        let now = self.now;
        let behind: BTreeSet<PoolName> = (0..self.services.len())
            .filter(|other| {
                let other = &self.services[*other];
                other.heard.total > other.spec.backlog_limit()
            })
            .map(pool)
            .collect();
        let queue = &mut self.services[service].collectors[shard];
        queue.set_backlogged(behind);
        let late = queue.shed(now);
        self.deliver(service, shard, late);
        while let Some(call) = self.services[service].collectors[shard].plan(now) {
            let millis = self.call_ms(service, shard, &call);
            self.calls.push(call);
            let number = self.calls.len() - 1;
            self.after(millis, DayEvent::Call(service, shard, number));
        }
        let next = self.services[service].collectors[shard].next_wakeup(now);
        let later = now + TimeSpan::from_millis(1);
        let never = now + TimeSpan::from_secs(1);
        self.services[service].wakes[shard] = next.map_or(never, |next| next.max(later));
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
            millis += spec.piece_ms * self.kinds[request.kind].stages[*stage].work;
            for (name, bytes) in request.progress.inputs_sized(*stage) {
                let bytes = f64::from(u32::try_from(bytes).expect("a size"));
                millis += bytes / LINK_BYTES;
                self.end.read_bytes += bytes;
                if zone_of(name) != zone.as_str() {
                    self.end.away_bytes += bytes;
                }
            }
        }
        u64::from(whole(millis)) + NETWORK_MS
    }
}

// The cast saturates.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(number: f64) -> u32 {
    number.round() as u32
}

fn pool(service: usize) -> PoolName {
    PoolName::new(&format!("s{service}")).expect("a name")
}

fn place_of(name: &PoolName) -> usize {
    name.as_str()[1..].parse().expect("a place")
}

fn zone_of(result: &str) -> &str {
    result.split('/').next().expect("a zone")
}
