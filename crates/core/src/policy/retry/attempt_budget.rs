use std::sync::atomic::{AtomicI64, Ordering};

/// Credits of one extra attempt.
const ATTEMPT_COST: i64 = 1_000;

/// Bounds extra attempts to a share of the traffic.
///
/// Each first attempt earns a share of an extra one; credits are kept up to a
/// small reserve, so that rare traffic may retry as well. Over any time, extra
/// attempts are at most the reserve plus the share of the first attempts.
#[derive(Debug)]
pub struct AttemptBudget {
    credits: AtomicI64,
    earned_each: i64,
    reserve: AtomicI64,
}

impl AttemptBudget {
    /// Creates a budget of `per_mille` extra attempts in a thousand first
    /// ones, which may save up `reserve` attempts and begins with them.
    #[must_use]
    pub fn new(per_mille: u32, reserve: u32) -> Self {
        let reserve = i64::from(reserve) * ATTEMPT_COST;
        Self {
            credits: AtomicI64::new(reserve),
            earned_each: i64::from(per_mille),
            reserve: AtomicI64::new(reserve),
        }
    }

    /// Changes how many attempts may be saved up.
    pub fn set_reserve(&self, reserve: u32) {
        let reserve = i64::from(reserve) * ATTEMPT_COST;
        self.reserve.store(reserve, Ordering::Relaxed);
        self.credits.fetch_min(reserve, Ordering::Relaxed);
    }

    /// Whether an extra attempt is left.
    #[must_use]
    pub fn has_spare(&self) -> bool {
        self.credits.load(Ordering::Relaxed) >= ATTEMPT_COST
    }

    /// Counts a first attempt.
    pub fn earn(&self) {
        let reserve = self.reserve.load(Ordering::Relaxed);
        let update = |credits: i64| {
            let next = (credits + self.earned_each).min(reserve);
            (next != credits).then_some(next)
        };
        let _ = self
            .credits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Takes an extra attempt from the budget, if there is one left.
    pub fn try_spend(&self) -> bool {
        let update = |credits: i64| {
            let next = credits - ATTEMPT_COST;
            (next >= 0).then_some(next)
        };
        self.credits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update)
            .is_ok()
    }

    /// Gives back an attempt that was not made after all.
    pub fn refund(&self) {
        let reserve = self.reserve.load(Ordering::Relaxed);
        let update = |credits: i64| Some((credits + ATTEMPT_COST).min(reserve));
        let _ = self
            .credits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }
}
