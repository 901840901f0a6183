use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};

use super::{CacheHints, ReportSkill};
use crate::policy::{
    DecayedMean, QuantileSketch,
    health::HealthRule,
    retry::{HedgeBudget, RetryBudget},
};

/// Retries allowed in a thousand first attempts.
const RETRY_PER_MILLE: u32 = 100;
/// Hedges allowed in a thousand first attempts.
const HEDGE_PER_MILLE: u32 = 50;
/// Extra attempts that rare traffic may save up.
const BUDGET_RESERVE: u32 = 10;

/// What is learned about a pool, for the life of the process.
#[derive(Debug)]
pub struct PoolStats {
    /// Rule of ejection.
    pub health_rule: HealthRule,
    /// Bounds the retries.
    pub retry_budget: RetryBudget,
    /// Bounds the hedges.
    pub hedge_budget: HedgeBudget,
    /// Which target is thought to have cached which prefix.
    pub cache_hints: CacheHints,
    /// Times from call to whole answer.
    pub latency: QuantileSketch,
    /// Times from call to the first bytes of its answer.
    pub first_byte: QuantileSketch,
    /// Times between two pieces of a streamed answer.
    pub chunk_interval: QuantileSketch,
    /// How well load reports predict.
    pub report_skill: ReportSkill,
    pub(super) round: AtomicU64,
    pub(super) others: DecayedMean,
    pub(super) service: DecayedMean,
    pub(super) ejection: Mutex<()>,
}

impl Default for PoolStats {
    fn default() -> Self {
        Self {
            health_rule: HealthRule::default(),
            retry_budget: RetryBudget::new(RETRY_PER_MILLE, BUDGET_RESERVE),
            hedge_budget: HedgeBudget::new(HEDGE_PER_MILLE, BUDGET_RESERVE),
            cache_hints: CacheHints::default(),
            latency: QuantileSketch::default(),
            first_byte: QuantileSketch::default(),
            chunk_interval: QuantileSketch::default(),
            report_skill: ReportSkill::default(),
            round: AtomicU64::new(0),
            others: DecayedMean::default(),
            service: DecayedMean::default(),
            ejection: Mutex::new(()),
        }
    }
}

impl PoolStats {
    /// Lets old latencies fade. To be called about every 10 s.
    pub fn fade(&self) {
        for sketch in [&self.latency, &self.first_byte, &self.chunk_interval] {
            sketch.halve();
        }
    }

    pub(super) fn next_round(&self) -> u64 {
        self.round.fetch_add(1, Ordering::Relaxed)
    }
}
