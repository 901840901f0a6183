use std::{collections::BTreeMap, sync::Arc};

use fastrand::Rng;

use super::{LoadReport, TargetCriteria, TargetRecord};
use crate::{
    clock::{ClockTime, TimeSpan},
    cluster::rendezvous,
    ids::TargetId,
    policy::{
        DecayedMean,
        health::{CallOutcome, HealthRule, TargetHealth},
        numbers,
    },
};

/// Age at which a report says nothing any more. Requests take some hundred
/// milliseconds.
const REPORT_LIFETIME: TimeSpan = TimeSpan::from_millis(1_000);
/// Weight of the latest call in a target's share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// How much worse a target looks that fails all calls.
const FAILURE_PENALTY: f64 = 12.0;
/// Share by which targets of the same load may look different, so that nodes
/// with the same reports don't all choose the same one.
const NOISE: f64 = 0.2;
/// Load at which a target keeps requests of its affinity, against the mean.
const AFFINITY_FACTOR: f64 = 1.5;
/// Part of a target's slots that an affinity may fill beyond that. With so few
/// requests more its steps are hardly longer.
const AFFINITY_SLACK: f64 = 0.125;
/// Penalty from which a target doesn't get requests for what it may hold.
const SOUND_PENALTY: f64 = 2.0;
/// When targets are left out: three failures in a row, for a second at first.
/// Faults of a few seconds are usual, so the longest pause is short as well.
pub(crate) const HEALTH_RULE: HealthRule = HealthRule {
    failure_limit: 3,
    slow_factor: 3.0,
    slow_samples: 10,
    first_ejection: TimeSpan::from_millis(700),
    longest_ejection: TimeSpan::from_millis(3_000),
    ejected_share: 0.5,
    slow_start: TimeSpan::from_millis(1_000),
};

/// What a gateway knows of one target's load and health.
#[derive(Debug, Default)]
struct TargetLoad {
    in_flight: u32,
    report: Option<LoadReport>,
    /// Own requests in flight when the report arrived.
    in_flight_then: u32,
    health: TargetHealth,
    failures: DecayedMean,
    /// The run that has turned a request away, and until when.
    closed: Option<(Option<u64>, ClockTime)>,
}

impl TargetLoad {
    /// Requests at the target: those of the last report and those sent since.
    fn estimate(&self, now: ClockTime) -> f64 {
        let own = f64::from(self.in_flight);
        let fresh = self
            .report
            .filter(|report| now.since(report.at) < REPORT_LIFETIME);
        fresh.map_or(own, |report| {
            let age = numbers::millis(now.since(report.at));
            let faded = 1.0 - age / numbers::millis(REPORT_LIFETIME);
            let reported = f64::from(report.running + report.waiting) * faded;
            let since = f64::from(self.in_flight.saturating_sub(self.in_flight_then));
            (reported + since).max(own)
        })
    }
}

/// Load and health of all targets, as this gateway sees them.
///
/// Answers to this load pattern: many nodes see the same late reports, some
/// targets fail a share of their requests or fall silent for seconds, and a
/// burst must not be sent where the last report was good.
#[derive(Debug, Default)]
pub struct TargetLoads {
    loads: BTreeMap<TargetId, TargetLoad>,
}

impl TargetLoads {
    /// Counts a request as sent.
    pub fn begin(&mut self, target: &TargetId) {
        self.loads.entry(target.clone()).or_default().in_flight += 1;
    }

    /// Counts a request as done with.
    pub fn end(&mut self, target: &TargetId, outcome: CallOutcome, now: ClockTime) {
        let Some(load) = self.loads.get_mut(target) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        let failed = match outcome {
            CallOutcome::Cancelled => return,
            CallOutcome::Answered | CallOutcome::Refused => 0.0,
            CallOutcome::Failed | CallOutcome::Stalled => 1.0,
        };
        load.failures.observe(failed, FAILURE_WEIGHT);
        if load.health.observe(outcome, &HEALTH_RULE) {
            load.health.eject(&HEALTH_RULE, now);
        }
    }

    /// Takes in a report.
    pub fn report(&mut self, target: &TargetId, report: LoadReport) {
        let load = self.loads.entry(target.clone()).or_default();
        load.in_flight_then = load.in_flight;
        load.report = Some(report);
    }

    /// Notes that a target wants no requests for a while.
    pub fn set_backoff(&mut self, record: &TargetRecord, until: ClockTime) {
        let load = self.loads.entry(record.id.clone()).or_default();
        let earlier = load.closed.filter(|(run, _)| *run == record.started_at);
        let until = earlier.map_or(until, |(_, earlier)| until.max(earlier));
        load.closed = Some((record.started_at, until));
    }

    /// Time until a target takes requests again that it has turned away.
    #[must_use]
    pub fn backoff_remaining(&self, record: &TargetRecord, now: ClockTime) -> TimeSpan {
        let load = self.loads.get(&record.id);
        let closed = load.and_then(|load| load.closed);
        let closed = closed.filter(|(run, _)| *run == record.started_at);
        closed.map_or(TimeSpan::ZERO, |(_, until)| now.until(until))
    }

    /// Time until the first of some targets takes requests again, if all of
    /// them have turned requests away.
    #[must_use]
    pub fn shortest_backoff(
        &self,
        candidates: &[Arc<TargetRecord>],
        now: ClockTime,
    ) -> Option<TimeSpan> {
        let spans = candidates
            .iter()
            .map(|record| self.backoff_remaining(record, now));
        spans.min().filter(|span| !span.is_zero())
    }

    /// Forgets targets that are no longer registered and have no requests.
    pub fn retain<Known>(&mut self, is_known: Known)
    where
        Known: Fn(&TargetId) -> bool,
    {
        self.loads
            .retain(|target, load| load.in_flight > 0 || is_known(target));
    }

    /// Chooses a target for a request: the one that may hold its prompt, then one in the wanted zone, then the one with the least
    /// expected work.
    #[must_use]
    pub fn choose(
        &self,
        candidates: &[Arc<TargetRecord>],
        ask: &TargetCriteria<'_>,
    ) -> Option<Arc<TargetRecord>> {
        if let Some(holder) = self.affinity_target(candidates, ask) {
            return Some(holder);
        }
        let usable = self.usable(candidates, ask);
        let near: Vec<_> = usable
            .iter()
            .copied()
            .filter(|record| ask.zone == Some(&record.zone))
            .collect();
        let pool = if near.is_empty() { usable } else { near };
        self.by_load(&pool, ask).map(Arc::clone)
    }

    /// Targets that a request must not go to: tried, closed or failing.
    #[must_use]
    pub fn unusable(
        &self,
        candidates: &[Arc<TargetRecord>],
        ask: &TargetCriteria<'_>,
    ) -> Vec<TargetId> {
        let usable = self.usable(candidates, ask);
        let others = candidates.iter();
        let others = others.filter(|record| !usable.iter().any(|other| other.id == record.id));
        others.map(|record| record.id.clone()).collect()
    }

    /// The target that may hold a request's prompt. All nodes rank the targets in
    /// the same order for a prompt and take the first that is sound and not
    /// loaded far above the others, so that those which a full or failing one
    /// turns away meet at the same next one.
    #[must_use]
    pub fn affinity_target(
        &self,
        candidates: &[Arc<TargetRecord>],
        ask: &TargetCriteria<'_>,
    ) -> Option<Arc<TargetRecord>> {
        let usable = self.usable(candidates, ask);
        self.by_affinity(&usable, ask).map(Arc::clone)
    }

    fn usable<'a>(
        &self,
        candidates: &'a [Arc<TargetRecord>],
        ask: &TargetCriteria<'_>,
    ) -> Vec<&'a Arc<TargetRecord>> {
        let untried = candidates
            .iter()
            .filter(|record| !ask.tried.contains(&record.id))
            .filter(|record| self.backoff_remaining(record, ask.now).is_zero());
        self.without_ejected(untried.collect(), ask.now)
    }

    fn without_ejected<'a>(
        &self,
        records: Vec<&'a Arc<TargetRecord>>,
        now: ClockTime,
    ) -> Vec<&'a Arc<TargetRecord>> {
        let is_ejected = |record: &Arc<TargetRecord>| {
            let load = self.loads.get(&record.id);
            load.is_some_and(|load| load.health.is_ejected(now))
        };
        let healthy: Vec<_> = records
            .iter()
            .copied()
            .filter(|record| !is_ejected(record))
            .collect();
        let ejected = records.len() - healthy.len();
        if healthy.is_empty() || ejected > HEALTH_RULE.ejected_limit(records.len()) {
            return records;
        }
        healthy
    }

    fn by_affinity<'a>(
        &self,
        pool: &[&'a Arc<TargetRecord>],
        ask: &TargetCriteria<'_>,
    ) -> Option<&'a Arc<TargetRecord>> {
        let affinity = ask.affinity?;
        let total: f64 = pool
            .iter()
            .map(|record| self.estimate(record, ask.now))
            .sum();
        let mean = total / numbers::count(pool.len()).max(1.0);
        let fitting = pool.iter().copied().filter(|record| {
            let slack = f64::from(record.slots) * AFFINITY_SLACK;
            let fits = self.estimate(record, ask.now) <= mean * AFFINITY_FACTOR + slack;
            fits && self.penalty(record, ask.now) < SOUND_PENALTY
        });
        fitting.max_by_key(|record| {
            rendezvous::score(affinity, rendezvous::text_hash(record.id.as_str()))
        })
    }

    fn by_load<'a>(
        &self,
        pool: &[&'a Arc<TargetRecord>],
        ask: &TargetCriteria<'_>,
    ) -> Option<&'a Arc<TargetRecord>> {
        let mut rng = Rng::with_seed(ask.seed);
        let scored = pool.iter().map(|record| {
            let slots = f64::from(record.slots.max(1));
            let load = (self.estimate(record, ask.now) + 1.0) / slots;
            let noise = 1.0 + NOISE * rng.f64();
            (load * self.penalty(record, ask.now) * noise, *record)
        });
        let best = scored.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(best.1)
    }

    fn estimate(&self, record: &TargetRecord, now: ClockTime) -> f64 {
        let load = self.loads.get(&record.id);
        load.map_or(0.0, |load| load.estimate(now))
    }

    fn penalty(&self, record: &TargetRecord, now: ClockTime) -> f64 {
        self.loads.get(&record.id).map_or(1.0, |load| {
            let share = load.failures.get().unwrap_or(0.0);
            load.health.penalty(&HEALTH_RULE, now) * (1.0 + FAILURE_PENALTY * share)
        })
    }
}
