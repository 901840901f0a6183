use std::sync::atomic::{AtomicI64, Ordering};

/// Credits that one extra attempt costs.
const ATTEMPT_COST: i64 = 1_000;

/// Token bucket that limits extra attempts (retries or hedges) to a share of the
/// first attempts.
///
/// Each first attempt earns a share of an extra one. Unused credits accumulate
/// up to a small reserve, so that infrequent traffic may be retried as well. In
/// any period, extra attempts are at most the reserve plus the share of the
/// first attempts.
#[derive(Debug)]
pub struct AttemptBudget {
    credits: AtomicI64,
    credits_per_attempt: i64,
    reserve: AtomicI64,
}

impl AttemptBudget {
    /// Creates a budget of `per_mille` extra attempts per thousand first attempts.
    /// Up to `reserve` extra attempts accumulate, and the budget starts with as
    /// many.
    #[must_use]
    pub fn new(per_mille: u32, reserve: u32) -> Self {
        let reserve = i64::from(reserve) * ATTEMPT_COST;
        Self {
            credits: AtomicI64::new(reserve),
            credits_per_attempt: i64::from(per_mille),
            reserve: AtomicI64::new(reserve),
        }
    }

    /// Changes how many extra attempts may accumulate.
    pub fn set_reserve(&self, reserve: u32) {
        let reserve = i64::from(reserve) * ATTEMPT_COST;
        self.reserve.store(reserve, Ordering::Relaxed);
        self.credits.fetch_min(reserve, Ordering::Relaxed);
    }

    /// Whether an extra attempt is available.
    #[must_use]
    pub fn has_spare(&self) -> bool {
        self.credits.load(Ordering::Relaxed) >= ATTEMPT_COST
    }

    /// Adds the credits for a first attempt.
    pub fn earn(&self) {
        let reserve = self.reserve.load(Ordering::Relaxed);
        let update = |credits: i64| {
            let next = (credits + self.credits_per_attempt).min(reserve);
            (next != credits).then_some(next)
        };
        let _ = self
            .credits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Takes an extra attempt from the budget. Returns whether one was available.
    pub fn try_spend(&self) -> bool {
        let update = |credits: i64| {
            let next = credits - ATTEMPT_COST;
            (next >= 0).then_some(next)
        };
        self.credits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update)
            .is_ok()
    }

    /// Returns an extra attempt that was taken but not made.
    pub fn refund(&self) {
        let reserve = self.reserve.load(Ordering::Relaxed);
        let update = |credits: i64| Some((credits + ATTEMPT_COST).min(reserve));
        let _ = self
            .credits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }
}
