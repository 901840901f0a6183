use std::{
    collections::HashSet,
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwapOption;

use super::{PoolStats, ReportCell};
use crate::{
    clock::ClockTime,
    ids::ModelName,
    policy::{DecayedMean, health::TargetHealth, numbers},
    protocol::LoadReport,
};

/// Age at which a load report says nothing more about other nodes' calls, in
/// service times: by then those calls have ended.
const REPORT_LIFE: f64 = 2.0;
/// Weight of one observation in the mean of a pool.
const POOL_WEIGHT: f64 = 0.02;
/// Weight of one observation in the mean of a target.
const TARGET_WEIGHT: f64 = 0.1;
/// Service time of a target of which nothing is known, in milliseconds.
const UNKNOWN_SERVICE_MS: f64 = 50.0;

/// Short number of a target, unique in the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShortTargetId(u32);

impl ShortTargetId {
    pub(super) fn next() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }

    pub(super) const fn from_number(number: u32) -> Self {
        Self(number)
    }

    pub(super) const fn number(self) -> u32 {
        self.0
    }
}

impl fmt::Display for ShortTargetId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// What is learned about one target, for the life of the process.
#[derive(Debug)]
pub struct TargetStats {
    slot: ShortTargetId,
    in_flight: AtomicU32,
    samples: AtomicU32,
    gap_at: AtomicU64,
    next_event: AtomicU64,
    service: DecayedMean,
    report: ReportCell,
    health: TargetHealth,
    loaded: ArcSwapOption<HashSet<ModelName>>,
}

impl Default for TargetStats {
    fn default() -> Self {
        Self {
            slot: ShortTargetId::next(),
            in_flight: AtomicU32::new(0),
            samples: AtomicU32::new(0),
            gap_at: AtomicU64::new(0),
            next_event: AtomicU64::new(0),
            service: DecayedMean::default(),
            report: ReportCell::default(),
            health: TargetHealth::default(),
            loaded: ArcSwapOption::empty(),
        }
    }
}

impl TargetStats {
    /// Short number of the target.
    #[must_use]
    pub const fn short_id(&self) -> ShortTargetId {
        self.slot
    }

    /// Calls of this node in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// The last load report.
    #[must_use]
    pub const fn report(&self) -> &ReportCell {
        &self.report
    }

    /// Health of the target.
    #[must_use]
    pub const fn health(&self) -> &TargetHealth {
        &self.health
    }

    /// Calls answered since the last ejection.
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.samples.load(Ordering::Relaxed)
    }

    /// Observed service time in milliseconds, if there is one.
    #[must_use]
    pub fn observed_service(&self) -> Option<f64> {
        self.service.get()
    }

    /// States which models the target holds; unknown until the first call.
    pub fn set_loaded(&self, models: HashSet<ModelName>) {
        self.loaded.store(Some(Arc::new(models)));
    }

    /// Whether the target may hold the model.
    #[must_use]
    pub fn may_hold(&self, model: &ModelName) -> bool {
        let loaded = self.loaded.load();
        loaded.as_ref().is_none_or(|models| models.contains(model))
    }

    /// Takes in a load report that arrived just now.
    pub fn take_report(&self, report: &LoadReport, pool: &PoolStats, now: ClockTime) {
        self.report.store(report, self.in_flight(), now);
        if pool.others.get().is_none() {
            // Targets without a report are thought to be idle at first.
            pool.others.observe(0.0, POOL_WEIGHT);
        }
        pool.others
            .observe(f64::from(self.report.others()), POOL_WEIGHT);
    }

    /// Notes the sequence number of a cache event. After a gap older hints
    /// about this target count less.
    pub fn note_event(&self, sequence: u64, now: ClockTime) {
        let expected = self.next_event.swap(sequence + 1, Ordering::Relaxed);
        if expected != 0 && sequence != expected {
            self.gap_at.store(now.as_millis(), Ordering::Relaxed);
        }
    }

    pub(super) fn gap_at(&self) -> ClockTime {
        ClockTime::from_millis(self.gap_at.load(Ordering::Relaxed))
    }

    pub(super) fn begin(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn end(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn observe_service(&self, millis: f64, pool: &PoolStats) {
        self.service.observe(millis, TARGET_WEIGHT);
        pool.service.observe(millis, POOL_WEIGHT);
        self.samples.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn forget_service(&self) {
        self.service.reset();
        self.samples.store(0, Ordering::Relaxed);
    }

    /// Calls thought to be at the target now, of all nodes.
    ///
    /// Own calls are known exactly. Those of other nodes are the pool's mean,
    /// and the last report's as far as its age and the skill of reports allow.
    #[must_use]
    pub fn predicted_load(&self, pool: &PoolStats, now: ClockTime) -> f64 {
        let usual = pool.others.get().unwrap_or(0.0);
        let others = usual + pool.report_skill.get() * self.reported_excess(pool, now);
        others + f64::from(self.in_flight())
    }

    /// Other nodes' calls beyond the pool's mean, by the last report; the older
    /// it is, the nearer to none.
    pub(super) fn reported_excess(&self, pool: &PoolStats, now: ClockTime) -> f64 {
        let Some(arrived) = self.report.arrived() else {
            return 0.0;
        };
        let usual = pool.others.get().unwrap_or(0.0);
        let age = numbers::millis(now.since(arrived));
        let life = REPORT_LIFE * self.predicted_service(pool);
        let trust = (1.0 - age / life).max(0.0);
        trust * (f64::from(self.report.others()) - usual)
    }

    /// Service time that a call is thought to need, in milliseconds.
    #[must_use]
    pub fn predicted_service(&self, pool: &PoolStats) -> f64 {
        let stated = numbers::millis(self.report.service_time());
        self.service
            .get()
            .or_else(|| (stated > 0.0).then_some(stated))
            .or_else(|| pool.service.get())
            .unwrap_or(UNKNOWN_SERVICE_MS)
    }
}
