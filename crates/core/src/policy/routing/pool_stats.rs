use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};

use super::{CacheHints, ReportAccuracy};
use crate::policy::{
    DecayedMean, QuantileSketch,
    health::HealthRule,
    retry::{HedgeBudget, RetryBudget},
};

/// Number of retries allowed per thousand first attempts.
const RETRIES_PER_MILLE: u32 = 100;
/// Number of hedges allowed per thousand first attempts.
const HEDGES_PER_MILLE: u32 = 50;
/// Number of extra attempts that each budget may accumulate, for pools with
/// little traffic.
const BUDGET_RESERVE: u32 = 10;

/// Statistics and budgets of a pool, kept across versions of the membership list.
#[derive(Debug)]
pub struct PoolStats {
    /// When targets are ejected, and for how long.
    pub health_rule: HealthRule,
    /// Limits retries to a share of the first attempts.
    pub retry_budget: RetryBudget,
    /// Limits hedges to a share of the first attempts.
    pub hedge_budget: HedgeBudget,
    /// Which targets have probably cached which prompt prefixes.
    pub cache_hints: CacheHints,
    /// Time from sending a call to the end of its response.
    pub latency: QuantileSketch,
    /// Time from sending a call to the first bytes of its response.
    pub first_byte: QuantileSketch,
    /// Time between two chunks of a streamed response.
    pub chunk_interval: QuantileSketch,
    /// How well load reports predict waiting times.
    pub report_accuracy: ReportAccuracy,
    pub(super) round_robin: AtomicU64,
    /// Mean number of calls of other nodes at a target, as reported.
    pub(super) other_calls: DecayedMean,
    /// Mean service time in milliseconds.
    pub(super) service_time: DecayedMean,
    /// Serializes ejections, so that they keep to the limit of the pool.
    pub(super) ejection_lock: Mutex<()>,
}

impl Default for PoolStats {
    fn default() -> Self {
        Self {
            health_rule: HealthRule::default(),
            retry_budget: RetryBudget::new(RETRIES_PER_MILLE, BUDGET_RESERVE),
            hedge_budget: HedgeBudget::new(HEDGES_PER_MILLE, BUDGET_RESERVE),
            cache_hints: CacheHints::default(),
            latency: QuantileSketch::default(),
            first_byte: QuantileSketch::default(),
            chunk_interval: QuantileSketch::default(),
            report_accuracy: ReportAccuracy::default(),
            round_robin: AtomicU64::new(0),
            other_calls: DecayedMean::default(),
            service_time: DecayedMean::default(),
            ejection_lock: Mutex::new(()),
        }
    }
}

impl PoolStats {
    /// Halves the weight of the latencies recorded so far. Must be called about
    /// every 10 s.
    pub fn decay(&self) {
        for sketch in [&self.latency, &self.first_byte, &self.chunk_interval] {
            sketch.halve();
        }
    }

    pub(super) fn next_round_robin(&self) -> u64 {
        self.round_robin.fetch_add(1, Ordering::Relaxed)
    }
}
