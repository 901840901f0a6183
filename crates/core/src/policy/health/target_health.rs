use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use super::HealthRule;
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
};

/// Penalty added for a target whose ejection has just ended.
const SLOW_START_PENALTY: f64 = 4.0;
/// Time since the end of the last ejection after which earlier ones no longer
/// count, as a multiple of the maximum ejection duration.
const RESET_FACTOR: u64 = 4;

/// How a call to a target ended, as far as the target's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target answered.
    Answered,
    /// The target refused the call without running it.
    Refused,
    /// The target or the connection failed.
    Failed,
    /// The call made no progress for longer than expected.
    Stalled,
    /// The sender gave up the call, which says nothing about the target.
    Cancelled,
}

/// Health of one target, kept for the life of the process and shared by
/// threads.
#[derive(Debug, Default)]
pub struct TargetHealth {
    /// Consecutive failures.
    failures: AtomicU32,
    /// Recent ejections, which determine the duration of the next one.
    ejections: AtomicU32,
    /// End of the last ejection in milliseconds; zero if there was none.
    ejected_until: AtomicU64,
}

impl TargetHealth {
    /// Records the outcome of a call. Returns whether the target has reached the
    /// number of consecutive failures at which it should be ejected.
    pub fn observe(&self, outcome: CallOutcome, rule: &HealthRule) -> bool {
        match outcome {
            CallOutcome::Answered => {
                self.failures.store(0, Ordering::Relaxed);
                false
            }
            CallOutcome::Refused | CallOutcome::Cancelled => false,
            CallOutcome::Failed | CallOutcome::Stalled => {
                let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
                failures >= rule.failure_limit
            }
        }
    }

    /// Ejects the target and returns the duration of the ejection. The caller
    /// enforces the limit of ejected targets in a pool.
    pub fn eject(&self, rule: &HealthRule, now: ClockTime) -> TimeSpan {
        let last_end = ClockTime::from_millis(self.ejected_until.load(Ordering::Relaxed));
        let reset_after = rule.longest_ejection * RESET_FACTOR;
        if now.since(last_end) > reset_after {
            self.ejections.store(0, Ordering::Relaxed);
        }
        let earlier = self.ejections.fetch_add(1, Ordering::Relaxed);
        let span = rule.ejection_span(earlier);
        let until = now + span;
        self.ejected_until
            .store(until.as_millis(), Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
        span
    }

    /// Whether the target is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        self.ejected_until.load(Ordering::Relaxed) > now.as_millis()
    }

    /// Number of consecutive failures.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Factor of at least 1 by which the target's score is worsened for
    /// consecutive failures and a recent ejection.
    #[must_use]
    pub fn penalty(&self, rule: &HealthRule, now: ClockTime) -> f64 {
        let failures = f64::from(self.failures().min(rule.failure_limit));
        1.0 + failures + self.slow_start_penalty(rule, now)
    }

    fn slow_start_penalty(&self, rule: &HealthRule, now: ClockTime) -> f64 {
        let until = self.ejected_until.load(Ordering::Relaxed);
        if until == 0 {
            return 0.0;
        }
        let age = now.since(ClockTime::from_millis(until));
        let remaining = 1.0 - numbers::millis(age) / numbers::millis(rule.slow_start).max(1.0);
        SLOW_START_PENALTY * remaining.max(0.0)
    }
}
