use super::{PermitDecision, PermitPace};
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
    units::RateLimit,
};

/// Longest additional wait by which denied senders are spread, so that in a large
/// fleet they don't all ask again for the same permit.
const MAX_SPREAD: TimeSpan = TimeSpan::from_secs(2);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Paces the requests to one target by a token bucket. A negative number of tokens
/// means that permits of the future are reserved.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendPacer {
    tokens: f64,
    refilled_at: ClockTime,
    /// Denials since the last permit.
    denials: u32,
}

impl SendPacer {
    /// Creates a pacer, usually without unused permits: another node may have granted
    /// some a moment ago.
    pub(super) const fn new(pace: PermitPace, now: ClockTime) -> Self {
        Self {
            tokens: pace.initial,
            refilled_at: now,
            denials: 0,
        }
    }

    /// Time since the pacer was last asked.
    pub(super) const fn idle_time(&self, now: ClockTime) -> TimeSpan {
        now.since(self.refilled_at)
    }

    /// Time until the next permit is available.
    pub(super) fn wait(&mut self, pace: PermitPace, now: ClockTime) -> TimeSpan {
        let rate = self.refill(pace, now);
        numbers::span(((1.0 - self.tokens) / rate * MILLIS_PER_SECOND).ceil())
    }

    /// Takes the next permit if it is available within `patience`.
    pub(super) fn acquire(
        &mut self,
        pace: PermitPace,
        patience: TimeSpan,
        now: ClockTime,
    ) -> PermitDecision {
        let wait = self.wait(pace, now);
        if wait <= patience {
            self.tokens -= 1.0;
            self.denials = 0;
            return PermitDecision::Granted { wait };
        }
        let spread = f64::from(self.denials) / positive(pace.rate) * MILLIS_PER_SECOND;
        self.denials = self.denials.saturating_add(1);
        PermitDecision::Denied {
            retry_after: wait + numbers::span(spread).min(MAX_SPREAD),
        }
    }

    fn refill(&mut self, pace: PermitPace, now: ClockTime) -> f64 {
        let rate = positive(pace.rate);
        let earned = rate * now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + earned).min(pace.max_unused);
        self.refilled_at = now;
        rate
    }
}

/// The rate as a divisor.
const fn positive(rate: RateLimit) -> f64 {
    rate.as_per_second().max(f64::MIN_POSITIVE)
}
