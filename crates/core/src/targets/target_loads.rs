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

/// Age at which a load report no longer counts. Requests take a few hundred
/// milliseconds.
const REPORT_LIFETIME: TimeSpan = TimeSpan::from_millis(1_000);
/// Weight of the latest call in a target's decayed failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Increase of the penalty factor of a target that fails all calls.
const MAX_FAILURE_PENALTY: f64 = 12.0;
/// Largest random increase of a target's score, as a share of it, so that nodes
/// with the same reports don't all choose the same target.
const SCORE_NOISE: f64 = 0.2;
/// Load up to which a target gets requests by affinity, as a multiple of the mean
/// load.
const AFFINITY_LOAD_FACTOR: f64 = 1.5;
/// Share of its slots by which a target's load may exceed that limit. So few
/// additional requests hardly lengthen the target's steps.
const AFFINITY_SLACK: f64 = 0.125;
/// Penalty factor from which a target gets no requests by affinity.
const AFFINITY_PENALTY_LIMIT: f64 = 2.0;
/// When targets are ejected: after three failures in a row, at first for less than
/// a second. Faults of a few seconds are common, so the longest ejection is short
/// too.
pub(crate) const HEALTH_RULE: HealthRule = HealthRule {
    failure_limit: 3,
    slow_factor: 3.0,
    slow_samples: 10,
    first_ejection: TimeSpan::from_millis(700),
    longest_ejection: TimeSpan::from_millis(3_000),
    ejected_share: 0.5,
    slow_start: TimeSpan::from_millis(1_000),
};

/// What a gateway knows about the load and health of one target.
#[derive(Debug, Default)]
struct TargetLoad {
    in_flight: u32,
    report: Option<LoadReport>,
    /// Requests of this gateway that were in flight when the report arrived.
    in_flight_at_report: u32,
    health: TargetHealth,
    failure_rate: DecayedMean,
    /// Start time of the run that asked for a backoff, and the end of the backoff.
    backoff: Option<(Option<u64>, ClockTime)>,
    /// Start time of the run whose limit is used up, and when the next permit for a
    /// request is expected.
    pace: Option<(Option<u64>, ClockTime)>,
}

impl TargetLoad {
    /// Estimated requests at the target: those of the last report, with a weight
    /// that decreases with its age, and those sent since.
    fn estimate(&self, now: ClockTime) -> f64 {
        let own = f64::from(self.in_flight);
        let fresh = self
            .report
            .filter(|report| now.since(report.at) < REPORT_LIFETIME);
        fresh.map_or(own, |report| {
            let age = numbers::millis(now.since(report.at));
            let weight = 1.0 - age / numbers::millis(REPORT_LIFETIME);
            let reported = f64::from(report.running + report.waiting) * weight;
            let sent_since = f64::from(self.in_flight.saturating_sub(self.in_flight_at_report));
            (reported + sent_since).max(own)
        })
    }
}

/// Load and health of all targets, as seen by this gateway.
///
/// Designed for this load pattern: many nodes see the same late reports, some
/// targets fail a share of their requests or stop responding for seconds, and a
/// burst must not all go to the target with the best last report.
#[derive(Debug, Default)]
pub struct TargetLoads {
    loads: BTreeMap<TargetId, TargetLoad>,
}

impl TargetLoads {
    /// Counts a request to a target as in flight.
    pub fn begin(&mut self, target: &TargetId) {
        self.loads.entry(target.clone()).or_default().in_flight += 1;
    }

    /// Counts a request as ended and its outcome towards the target's health.
    pub fn end(&mut self, target: &TargetId, outcome: CallOutcome, now: ClockTime) {
        let Some(load) = self.loads.get_mut(target) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        let failure = match outcome {
            CallOutcome::Cancelled => return,
            CallOutcome::Answered | CallOutcome::Refused => 0.0,
            CallOutcome::Failed | CallOutcome::Stalled => 1.0,
        };
        load.failure_rate.observe(failure, FAILURE_WEIGHT);
        if load.health.observe(outcome, &HEALTH_RULE) {
            load.health.eject(&HEALTH_RULE, now);
        }
    }

    /// Stores the latest load report of a target.
    pub fn report(&mut self, target: &TargetId, report: LoadReport) {
        let load = self.loads.entry(target.clone()).or_default();
        load.in_flight_at_report = load.in_flight;
        load.report = Some(report);
    }

    /// How long work takes on a target's VM, in percent of the usual time, as stated
    /// in its latest load report.
    #[must_use]
    pub fn work_percent(&self, target: &TargetId) -> Option<u32> {
        self.loads.get(target)?.report?.work_percent
    }

    /// Starts a backoff: the target gets no requests until `until`. If the same run
    /// has asked for a later end before, that end stays in effect.
    pub fn set_backoff(&mut self, record: &TargetRecord, until: ClockTime) {
        let load = self.loads.entry(record.id.clone()).or_default();
        let earlier = load.backoff.filter(|(run, _)| *run == record.started_at);
        let until = earlier.map_or(until, |(_, earlier)| until.max(earlier));
        load.backoff = Some((record.started_at, until));
    }

    /// Records that a target's limit is used up: the target gets no requests until
    /// `until`, when the next permit is expected.
    pub fn set_pace(&mut self, record: &TargetRecord, until: ClockTime) {
        let load = self.loads.entry(record.id.clone()).or_default();
        load.pace = Some((record.started_at, until));
    }

    /// Ends the wait for a permit, because the target's limit has changed.
    pub fn clear_pace(&mut self, target: &TargetId) {
        if let Some(load) = self.loads.get_mut(target) {
            load.pace = None;
        }
    }

    /// Time until a target may get requests again: the end of its backoff or of the
    /// wait for a permit, whichever is later. Zero if it may get them now.
    #[must_use]
    pub fn backoff_remaining(&self, record: &TargetRecord, now: ClockTime) -> TimeSpan {
        let Some(load) = self.loads.get(&record.id) else {
            return TimeSpan::ZERO;
        };
        let ends = load.backoff.into_iter().chain(load.pace);
        let own = ends.filter(|(run, _)| *run == record.started_at);
        let remaining = own.map(|(_, until)| now.until(until));
        remaining.max().unwrap_or_default()
    }

    /// Time until the end of the backoff that a target has asked for.
    #[must_use]
    pub fn requested_backoff(&self, record: &TargetRecord, now: ClockTime) -> TimeSpan {
        let load = self.loads.get(&record.id);
        let backoff = load.and_then(|load| load.backoff);
        let own = backoff.filter(|(run, _)| *run == record.started_at);
        own.map_or(TimeSpan::ZERO, |(_, until)| now.until(until))
    }

    /// Time until the first backoff of the candidates ends, if all of them are in
    /// backoff.
    #[must_use]
    pub fn shortest_backoff(
        &self,
        candidates: &[Arc<TargetRecord>],
        now: ClockTime,
    ) -> Option<TimeSpan> {
        let backoffs = candidates
            .iter()
            .map(|record| self.backoff_remaining(record, now));
        backoffs.min().filter(|span| !span.is_zero())
    }

    /// Removes targets that are unknown to `is_known` and have no requests in
    /// flight.
    pub fn retain<Known>(&mut self, is_known: Known)
    where
        Known: Fn(&TargetId) -> bool,
    {
        self.loads
            .retain(|target, load| load.in_flight > 0 || is_known(target));
    }

    /// Chooses a target for a request: the affinity target if there is one, else
    /// the one with the least expected load, preferably in the wanted zone.
    /// Returns `None` if no candidate is usable.
    #[must_use]
    pub fn choose(
        &self,
        candidates: &[Arc<TargetRecord>],
        criteria: &TargetCriteria<'_>,
    ) -> Option<Arc<TargetRecord>> {
        if let Some(target) = self.affinity_target(candidates, criteria) {
            return Some(target);
        }
        let usable = self.usable(candidates, criteria);
        let in_zone: Vec<_> = usable
            .iter()
            .copied()
            .filter(|record| criteria.zone == Some(&record.zone))
            .collect();
        let pool = if in_zone.is_empty() { usable } else { in_zone };
        self.select_by_load(&pool, criteria).map(Arc::clone)
    }

    /// Targets that a request must not go to: already tried, in backoff or ejected.
    #[must_use]
    pub fn unusable(
        &self,
        candidates: &[Arc<TargetRecord>],
        criteria: &TargetCriteria<'_>,
    ) -> Vec<TargetId> {
        let usable = self.usable(candidates, criteria);
        let others = candidates.iter();
        let others = others.filter(|record| !usable.iter().any(|other| other.id == record.id));
        others.map(|record| record.id.clone()).collect()
    }

    /// The target that may have cached a request's prompt, by rendezvous hashing.
    /// All nodes rank the targets in the same order for a prompt and choose the
    /// first one that is healthy and not loaded far above the others. Requests
    /// that can't go to a full or failing target thus go to the same next one.
    #[must_use]
    pub fn affinity_target(
        &self,
        candidates: &[Arc<TargetRecord>],
        criteria: &TargetCriteria<'_>,
    ) -> Option<Arc<TargetRecord>> {
        let usable = self.usable(candidates, criteria);
        self.select_by_affinity(&usable, criteria).map(Arc::clone)
    }

    fn usable<'a>(
        &self,
        candidates: &'a [Arc<TargetRecord>],
        criteria: &TargetCriteria<'_>,
    ) -> Vec<&'a Arc<TargetRecord>> {
        let untried = candidates
            .iter()
            .filter(|record| !criteria.tried.contains(&record.id))
            .filter(|record| self.backoff_remaining(record, criteria.now).is_zero());
        self.without_ejected(untried.collect(), criteria.now)
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

    fn select_by_affinity<'a>(
        &self,
        pool: &[&'a Arc<TargetRecord>],
        criteria: &TargetCriteria<'_>,
    ) -> Option<&'a Arc<TargetRecord>> {
        let affinity = criteria.affinity?;
        let total: f64 = pool
            .iter()
            .map(|record| self.estimate(record, criteria.now))
            .sum();
        let mean = total / numbers::count(pool.len()).max(1.0);
        let eligible = pool.iter().copied().filter(|record| {
            let slack = f64::from(record.slots) * AFFINITY_SLACK;
            let has_room =
                self.estimate(record, criteria.now) <= mean * AFFINITY_LOAD_FACTOR + slack;
            has_room && self.penalty(record, criteria.now) < AFFINITY_PENALTY_LIMIT
        });
        eligible.max_by_key(|record| {
            rendezvous::score(affinity, rendezvous::text_hash(record.id.as_str()))
        })
    }

    fn select_by_load<'a>(
        &self,
        pool: &[&'a Arc<TargetRecord>],
        criteria: &TargetCriteria<'_>,
    ) -> Option<&'a Arc<TargetRecord>> {
        let mut rng = Rng::with_seed(criteria.seed);
        let scored = pool.iter().map(|record| {
            let slots = f64::from(record.slots.max(1));
            let load = (self.estimate(record, criteria.now) + 1.0) / slots;
            let noise = 1.0 + SCORE_NOISE * rng.f64();
            (load * self.penalty(record, criteria.now) * noise, *record)
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
            let failure_rate = load.failure_rate.get().unwrap_or(0.0);
            load.health.penalty(&HEALTH_RULE, now) * (1.0 + MAX_FAILURE_PENALTY * failure_rate)
        })
    }
}
