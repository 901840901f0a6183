//! Replays troubles of the store in virtual time, as one reader and the targets meet
//! them: watches that are cut, refused calls, outages in which records expire, and
//! targets that leave at any time.

use std::collections::BTreeMap;

use fastrand::Rng;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EraNumber, PoolName, StoreRevision, TargetId, ZoneName},
    targets::{
        CallFailure, RegistryChange, StoreConnectivity, TargetRecord, TargetRegistry, TargetState,
    },
};

const RENEWAL_INTERVAL: TimeSpan = TimeSpan::from_millis(1_200);
/// Time without a renewal after which the store removes a record.
const RECORD_LIFETIME: u64 = 3_600;
/// Time after a removal beyond which a target gets no more requests.
const DRAIN_MS: u64 = 2_000;
/// Time after an outage from which all bounds hold.
const STABLE_MS: u64 = 3_000;
/// Time after an outage within which live targets renew their records.
const MAX_RETURN_MS: u64 = 1_900;
const WATCH_MS: u64 = 800;
/// Timeout of a call, in addition to the wait of a watch.
const RESPONSE_MS: u64 = 700;
const MIN_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 800;
/// Longest time for which calls are refused.
const MAX_REFUSAL_MS: u64 = 900;
/// Longest time between two changes of the trouble.
const MAX_TROUBLE_MS: u64 = 7_000;
/// Most by which the interval between two renewals differs from its mean.
const MAX_JITTER_MS: u64 = 70;
/// When the reader starts.
const START_MS: u64 = 50;
/// When the first trouble may begin.
const CALM_START_MS: u64 = 6_000;
const DAY_MS: u64 = 60_000;
const STEP_MS: u64 = 5;
/// Mean number of steps between two cuts of a series.
const MEAN_CUT_STEPS: u32 = 70;
const SEEDS: u64 = 300;
const TARGETS: u64 = 6;
/// Mean number of steps after which a given target leaves.
const MEAN_STAY_STEPS: u64 = 4_000;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(EraNumber::ZERO, number)
}

fn id(target: u64) -> TargetId {
    TargetId::new(&format!("t{target}")).expect("a valid target identifier")
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// Waiting watches are cut at random.
    Cuts,
    /// Readers get status 429.
    RateLimit,
    /// Calls fail at once, and watches are cut.
    Outage,
    /// Calls fail at once, but watches that wait end in order.
    Busy,
    /// Calls get no response, also after the end of the trouble.
    Silence,
}

impl Trouble {
    /// Whether targets can't renew their records.
    fn is_outage(self) -> bool {
        matches!(self, Self::Outage | Self::Busy | Self::Silence)
    }
}

/// The store, with the times at which records were last renewed.
struct SimulatedStore {
    revision: u64,
    records: BTreeMap<u64, (u64, u64)>,
    history: Vec<(u64, RegistryChange)>,
    trouble: Trouble,
}

struct SimulatedTarget {
    next_renewal: u64,
    left: Option<Departure>,
}

/// The removal of the record of a target that leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// Removed at this time, while the store was stable.
    Stable(u64),
    /// Removed soon after an outage.
    Unstable,
}

#[derive(Clone, Copy, Debug)]
enum ReaderStep {
    List,
    Watch { until: u64 },
}

struct SimulatedReader {
    registry: TargetRegistry,
    connectivity: StoreConnectivity,
    step: ReaderStep,
    due_at: u64,
    backoff: u64,
    /// Whether the call in progress gets no response.
    is_hung: bool,
}

impl SimulatedStore {
    fn record(&self, target: u64) -> Option<TargetRecord> {
        let (_, number) = *self.records.get(&target)?;
        Some(TargetRecord {
            id: id(target),
            service: PoolName::new("pool").expect("a valid pool name"),
            address: "10.0.0.1:80".parse().expect("a valid address"),
            zone: ZoneName::new("zone").expect("a valid zone name"),
            slots: 4,
            state: TargetState::Ready,
            started_at: Some(1),
            revision: revision(number),
            cold_left: TimeSpan::ZERO,
            write_number: None,
        })
    }

    /// Renews the record of a target, and writes it if it has expired.
    fn renew(&mut self, target: u64, now: u64) {
        if let Some((renewed_at, _)) = self.records.get_mut(&target) {
            *renewed_at = now;
            return;
        }
        self.revision += 1;
        self.records.insert(target, (now, self.revision));
        let record = self.record(target).expect("the record was written");
        self.history
            .push((self.revision, RegistryChange::Put(record)));
    }

    fn remove(&mut self, target: u64) {
        if self.records.remove(&target).is_none() {
            return;
        }
        self.revision += 1;
        let change = RegistryChange::Removed {
            id: id(target),
            revision: revision(self.revision),
        };
        self.history.push((self.revision, change));
    }

    fn expire(&mut self, now: u64) {
        let records = self.records.iter();
        let expired = records.filter(|(_, (renewed_at, _))| now - renewed_at > RECORD_LIFETIME);
        let expired: Vec<u64> = expired.map(|(target, _)| *target).collect();
        for target in expired {
            self.remove(target);
        }
    }
}

/// Revision of the last change, or `held` if there is none.
fn changes_revision(changes: &[RegistryChange], held: StoreRevision) -> StoreRevision {
    match changes.last() {
        Some(RegistryChange::Put(record)) => record.revision,
        Some(RegistryChange::Removed { revision, .. }) => *revision,
        None => held,
    }
}

impl SimulatedReader {
    fn fail(&mut self, failure: CallFailure, now: u64, rng: &mut Rng) {
        self.connectivity.record_failure(failure, at(now));
        self.is_hung = false;
        self.step = ReaderStep::List;
        self.due_at = now + rng.u64(self.backoff / 2..=self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF_MS);
    }

    fn run(&mut self, store: &SimulatedStore, now: u64, rng: &mut Rng) {
        if now < self.due_at {
            return;
        }
        self.is_hung |= store.trouble == Trouble::Silence;
        if self.is_hung {
            let timeout = match self.step {
                ReaderStep::List => self.due_at + RESPONSE_MS,
                ReaderStep::Watch { until } => until + RESPONSE_MS,
            };
            if now >= timeout {
                self.fail(CallFailure::Unavailable, now, rng);
            }
            return;
        }
        let failure = match (store.trouble, self.step) {
            (Trouble::Outage, ReaderStep::Watch { .. }) => Some(CallFailure::WatchCut),
            (Trouble::Outage | Trouble::Busy, ReaderStep::List) => Some(CallFailure::Unavailable),
            (Trouble::RateLimit, ReaderStep::List) => Some(CallFailure::RateLimited),
            (Trouble::Cuts, ReaderStep::Watch { .. }) => {
                (rng.u32(0..MEAN_CUT_STEPS) == 0).then_some(CallFailure::WatchCut)
            }
            _ => None,
        };
        if let Some(failure) = failure {
            return self.fail(failure, now, rng);
        }
        let held = self.registry.revision();
        match self.step {
            ReaderStep::List => {
                self.connectivity.record_answer(at(now), at(now));
                let records = store.records.keys();
                let records = records.filter_map(|target| store.record(*target)).collect();
                let is_settled = self.connectivity.is_settled(at(now));
                self.registry
                    .replace(records, revision(store.revision), is_settled);
            }
            ReaderStep::Watch { until } => {
                let changes = store.history.iter();
                let changes = changes.filter(|(number, _)| revision(*number) > held);
                // A store out of service only ends the watches that wait.
                let changes = changes.filter(|_| store.trouble != Trouble::Busy);
                let changes: Vec<RegistryChange> =
                    changes.map(|(_, change)| change.clone()).collect();
                let is_first = self.due_at == now;
                if is_first && store.trouble == Trouble::Busy {
                    return self.fail(CallFailure::Unavailable, now, rng);
                }
                if changes.is_empty() && now < until {
                    return;
                }
                self.connectivity.record_answer(at(self.due_at), at(now));
                let is_settled = self.connectivity.is_settled(at(now));
                let revision = changes_revision(&changes, held);
                self.registry.apply(changes, revision, is_settled);
                if is_settled {
                    self.registry.expire();
                }
            }
        }
        self.backoff = MIN_BACKOFF_MS;
        self.due_at = now + STEP_MS;
        let has_missing = self.registry.missing().next().is_some();
        let settling = self.connectivity.settling_time(at(self.due_at)).as_millis();
        let wait = if has_missing {
            settling.min(WATCH_MS)
        } else {
            WATCH_MS
        };
        let until = self.due_at + wait;
        self.step = ReaderStep::Watch { until };
    }
}

/// A store, its targets and one reader.
struct Simulation {
    seed: u64,
    rng: Rng,
    now: u64,
    store: SimulatedStore,
    targets: Vec<SimulatedTarget>,
    reader: SimulatedReader,
    trouble_ends: u64,
    /// End of the last outage.
    outage_end: u64,
    /// Last time at which calls were refused.
    refused_at: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let target = || SimulatedTarget {
            next_renewal: 0,
            left: None,
        };
        Self {
            seed,
            rng: Rng::with_seed(seed),
            now: 0,
            store: SimulatedStore {
                revision: 0,
                records: BTreeMap::new(),
                history: Vec::new(),
                trouble: Trouble::None,
            },
            targets: (0..TARGETS).map(|_| target()).collect(),
            reader: SimulatedReader {
                registry: TargetRegistry::default(),
                connectivity: StoreConnectivity::new(RENEWAL_INTERVAL),
                step: ReaderStep::List,
                due_at: START_MS,
                backoff: MIN_BACKOFF_MS,
                is_hung: false,
            },
            trouble_ends: CALM_START_MS,
            outage_end: 0,
            refused_at: 0,
        }
    }

    fn step(&mut self) {
        if self.now >= self.trouble_ends {
            self.change_trouble();
        }
        if self.store.trouble == Trouble::RateLimit {
            self.refused_at = self.now;
        }
        self.renew_records();
        self.store.expire(self.now);
        self.reader.run(&self.store, self.now, &mut self.rng);
        self.now += STEP_MS;
    }

    fn change_trouble(&mut self) {
        let previous = self.store.trouble;
        if previous.is_outage() {
            self.outage_end = self.now;
            for target in &mut self.targets {
                target.next_renewal = self.now + self.rng.u64(50..MAX_RETURN_MS);
            }
        }
        let all_returned = self.now >= self.outage_end + MAX_RETURN_MS;
        self.store.trouble = match self.rng.u32(0..6) {
            0 if previous == Trouble::None => Trouble::RateLimit,
            1 if previous == Trouble::None => Trouble::Cuts,
            2 if previous == Trouble::None => Trouble::Outage,
            // The reader may not notice a short trouble of this kind, which would keep
            // targets from registering again.
            3 if previous == Trouble::None && all_returned => Trouble::Busy,
            4 if previous == Trouble::None => Trouble::Silence,
            _ => Trouble::None,
        };
        let longest = match self.store.trouble {
            Trouble::RateLimit => MAX_REFUSAL_MS,
            _ => MAX_TROUBLE_MS,
        };
        self.trouble_ends = self.now + self.rng.u64(20..longest);
    }

    fn renew_records(&mut self) {
        for (number, target) in (0..).zip(&mut self.targets) {
            if target.left.is_some() || self.now < target.next_renewal {
                continue;
            }
            if !self.store.trouble.is_outage() {
                self.store.renew(number, self.now);
            }
            let interval = RENEWAL_INTERVAL.as_millis() - MAX_JITTER_MS;
            target.next_renewal = self.now + interval + self.rng.u64(0..2 * MAX_JITTER_MS);
        }
    }

    /// Lets a target leave, if its record can be removed now. Returns whether it did.
    fn remove_target(&mut self, number: u64) -> bool {
        let target = &mut self.targets[usize::try_from(number).expect("a small number")];
        let is_registered = self.store.records.contains_key(&number);
        if self.store.trouble.is_outage() || !is_registered {
            return false;
        }
        self.store.remove(number);
        target.left = Some(if self.now >= self.outage_end + STABLE_MS {
            Departure::Stable(self.now)
        } else {
            Departure::Unstable
        });
        true
    }

    fn check(&self) {
        for (number, target) in (0..).zip(&self.targets) {
            let is_used = self.reader.registry.get(&id(number)).is_some();
            match target.left {
                None => assert!(
                    is_used || self.now <= 2 * START_MS,
                    "seed {}, {} ms: live target {number} lost",
                    self.seed,
                    self.now
                ),
                Some(Departure::Stable(left_at)) => {
                    // An outage may begin before the reader has learned of the removal.
                    let is_hidden = self.store.trouble.is_outage();
                    let stable_at = self.outage_end + STABLE_MS;
                    let stable_at = Some(stable_at).filter(|_| self.outage_end > left_at);
                    let from = left_at.max(self.refused_at).max(stable_at.unwrap_or(0));
                    assert!(
                        !is_used || is_hidden || self.now <= from + DRAIN_MS,
                        "seed {}, {} ms: target {number}, which left at {left_at} ms, is in use",
                        self.seed,
                        self.now
                    );
                }
                Some(Departure::Unstable) => {}
            }
        }
    }
}

/// Guards against requests later than the drain time after a removal that a stable
/// store has stated, and at the same time against the loss of live targets whose
/// records expired in an outage.
#[test]
fn leaving_targets_are_dropped_in_time_and_no_live_target_is_lost() {
    let (mut departures, mut missing_steps) = (0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        while simulation.now < DAY_MS {
            let leaving = simulation.rng.u64(0..MEAN_STAY_STEPS);
            if leaving < TARGETS && simulation.now > CALM_START_MS / 2 {
                departures += usize::from(simulation.remove_target(leaving));
            }
            simulation.step();
            let has_missing = simulation.reader.registry.missing().next().is_some();
            missing_steps += usize::from(has_missing);
            simulation.check();
        }
    }
    assert!(departures > 1_000, "{departures} targets left");
    assert!(
        missing_steps > 1_000,
        "{missing_steps} steps with records missing"
    );
}
