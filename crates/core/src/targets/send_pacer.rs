use super::PermitDecision;
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
    units::RateLimit,
};

/// Time for which unused permits are kept, so that requests that come in groups
/// use the limit. Short against the seconds over which targets count.
const BURST: TimeSpan = TimeSpan::from_millis(250);
/// Least number of unused permits that are kept, for low limits. With one only, a
/// third of the permits would be lost between requests that come at random.
const MIN_BURST: f64 = 3.0;
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
    /// Creates a pacer without unused permits: another node may have granted some
    /// a moment ago.
    pub(super) const fn new(now: ClockTime) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
            denials: 0,
        }
    }

    /// Time since the pacer was last asked.
    pub(super) const fn idle_time(&self, now: ClockTime) -> TimeSpan {
        now.since(self.refilled_at)
    }

    /// Time until the next permit is available.
    pub(super) fn wait(&mut self, rate: RateLimit, now: ClockTime) -> TimeSpan {
        let rate = self.refill(rate, now);
        numbers::span(((1.0 - self.tokens) / rate * MILLIS_PER_SECOND).ceil())
    }

    /// Takes the next permit if it is available within `patience`.
    pub(super) fn acquire(
        &mut self,
        rate: RateLimit,
        patience: TimeSpan,
        now: ClockTime,
    ) -> PermitDecision {
        let wait = self.wait(rate, now);
        if wait <= patience {
            self.tokens -= 1.0;
            self.denials = 0;
            return PermitDecision::Granted { wait };
        }
        let spread = f64::from(self.denials) / positive(rate) * MILLIS_PER_SECOND;
        self.denials = self.denials.saturating_add(1);
        PermitDecision::Denied {
            retry_after: wait + numbers::span(spread).min(MAX_SPREAD),
        }
    }

    fn refill(&mut self, rate: RateLimit, now: ClockTime) -> f64 {
        let rate = positive(rate);
        let capacity = (rate * BURST.as_secs_f64()).max(MIN_BURST);
        let earned = rate * now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + earned).min(capacity);
        self.refilled_at = now;
        rate
    }
}

/// The rate as a divisor.
const fn positive(rate: RateLimit) -> f64 {
    rate.as_per_second().max(f64::MIN_POSITIVE)
}
