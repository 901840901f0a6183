use std::{
    collections::HashSet,
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwapOption;

use super::{LastReport, PoolStats};
use crate::{
    clock::ClockTime,
    ids::ModelName,
    policy::{DecayedMean, health::TargetHealth, numbers},
    protocol::LoadReport,
};

/// Age, in service times, at which a load report is ignored: by then the calls of
/// other nodes that it counts have ended.
const REPORT_LIFETIME: f64 = 2.0;
/// Weight of one observation in a mean over a pool.
const POOL_WEIGHT: f64 = 0.02;
/// Weight of one observation in a mean of one target.
const TARGET_WEIGHT: f64 = 0.1;
/// Assumed service time if nothing is known about a target and its pool, in
/// milliseconds.
const DEFAULT_SERVICE_TIME_MS: f64 = 50.0;

/// Compact id of a target, unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShortTargetId(u32);

impl ShortTargetId {
    pub(super) fn next() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }

    pub(super) const fn from_raw(raw: u32) -> Self {
        Self(raw)
    }

    pub(super) const fn raw(self) -> u32 {
        self.0
    }
}

impl fmt::Display for ShortTargetId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Statistics of one target, kept across versions of the membership list.
#[derive(Debug)]
pub struct TargetStats {
    short_id: ShortTargetId,
    in_flight: AtomicU32,
    samples: AtomicU32,
    /// Time of the last gap in the cache events, in milliseconds.
    last_gap_at: AtomicU64,
    /// Expected sequence number of the next cache event; zero before the first.
    next_event: AtomicU64,
    /// Mean service time in milliseconds.
    service_time: DecayedMean,
    report: LastReport,
    health: TargetHealth,
    /// Models that the target has loaded; `None` if unknown.
    loaded: ArcSwapOption<HashSet<ModelName>>,
}

impl Default for TargetStats {
    fn default() -> Self {
        Self {
            short_id: ShortTargetId::next(),
            in_flight: AtomicU32::new(0),
            samples: AtomicU32::new(0),
            last_gap_at: AtomicU64::new(0),
            next_event: AtomicU64::new(0),
            service_time: DecayedMean::default(),
            report: LastReport::default(),
            health: TargetHealth::default(),
            loaded: ArcSwapOption::empty(),
        }
    }
}

impl TargetStats {
    /// Compact id of the target.
    #[must_use]
    pub const fn short_id(&self) -> ShortTargetId {
        self.short_id
    }

    /// Number of in-flight calls of this node.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// The last load report.
    #[must_use]
    pub const fn report(&self) -> &LastReport {
        &self.report
    }

    /// Health of the target.
    #[must_use]
    pub const fn health(&self) -> &TargetHealth {
        &self.health
    }

    /// Number of calls answered since the last ejection.
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.samples.load(Ordering::Relaxed)
    }

    /// Mean observed service time in milliseconds; `None` without an observation.
    #[must_use]
    pub fn observed_service_time(&self) -> Option<f64> {
        self.service_time.get()
    }

    /// Sets the models that the target has loaded. They are unknown until the first
    /// call of this method.
    pub fn set_loaded(&self, models: HashSet<ModelName>) {
        self.loaded.store(Some(Arc::new(models)));
    }

    /// Whether the target may have loaded the model: it has, or its models are
    /// unknown.
    #[must_use]
    pub fn may_have_loaded(&self, model: &ModelName) -> bool {
        let loaded = self.loaded.load();
        loaded.as_ref().is_none_or(|models| models.contains(model))
    }

    /// Records a load report that was received at `now`.
    pub fn record_report(&self, report: &LoadReport, pool: &PoolStats, now: ClockTime) {
        self.report.store(report, self.in_flight(), now);
        if pool.other_calls.get().is_none() {
            // Targets without a report are assumed to be idle at first.
            pool.other_calls.observe(0.0, POOL_WEIGHT);
        }
        pool.other_calls
            .observe(f64::from(self.report.other_calls()), POOL_WEIGHT);
    }

    /// Records the sequence number of a cache event. After a gap, older cache hints
    /// for this target get less weight.
    pub fn record_event(&self, sequence: u64, now: ClockTime) {
        let expected = self.next_event.swap(sequence + 1, Ordering::Relaxed);
        if expected != 0 && sequence != expected {
            self.last_gap_at.store(now.as_millis(), Ordering::Relaxed);
        }
    }

    pub(super) fn last_gap_at(&self) -> ClockTime {
        ClockTime::from_millis(self.last_gap_at.load(Ordering::Relaxed))
    }

    pub(super) fn begin_call(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn end_call(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn observe_service_time(&self, millis: f64, pool: &PoolStats) {
        self.service_time.observe(millis, TARGET_WEIGHT);
        pool.service_time.observe(millis, POOL_WEIGHT);
        self.samples.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn reset_service_time(&self) {
        self.service_time.reset();
        self.samples.store(0, Ordering::Relaxed);
    }

    /// Predicted number of calls of all nodes at the target now.
    ///
    /// The calls of this node are known exactly. Those of other nodes are the
    /// pool's mean plus the deviation in the last report, which is weighted by the
    /// age of the report and the accuracy of reports.
    #[must_use]
    pub fn predicted_load(&self, pool: &PoolStats, now: ClockTime) -> f64 {
        let mean = pool.other_calls.get().unwrap_or(0.0);
        let others = mean + pool.report_accuracy.weight() * self.reported_excess_calls(pool, now);
        others + f64::from(self.in_flight())
    }

    /// Number of other nodes' calls beyond the pool's mean in the last report. It
    /// decreases to zero with the age of the report and may be negative.
    pub(super) fn reported_excess_calls(&self, pool: &PoolStats, now: ClockTime) -> f64 {
        let Some(received_at) = self.report.received_at() else {
            return 0.0;
        };
        let mean = pool.other_calls.get().unwrap_or(0.0);
        let age = numbers::millis(now.since(received_at));
        let lifetime = REPORT_LIFETIME * self.predicted_service_time(pool);
        let weight = (1.0 - age / lifetime).max(0.0);
        weight * (f64::from(self.report.other_calls()) - mean)
    }

    /// Predicted service time of a call, in milliseconds: the observed mean, else
    /// the time that the target reported, else the mean of the pool.
    #[must_use]
    pub fn predicted_service_time(&self, pool: &PoolStats) -> f64 {
        let reported = numbers::millis(self.report.service_time());
        self.service_time
            .get()
            .or_else(|| (reported > 0.0).then_some(reported))
            .or_else(|| pool.service_time.get())
            .unwrap_or(DEFAULT_SERVICE_TIME_MS)
    }
}
