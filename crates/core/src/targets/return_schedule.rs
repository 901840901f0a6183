use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
    units::RateLimit,
};

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Spreads the times at which rejected callers are told to come back to a service
/// whose targets have all named limits.
///
/// Designed for this load pattern: more callers are rejected in each second than
/// will be served in the next one. If all were told the time of the next permit,
/// one of them would get it and the others would be rejected again.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnSchedule {
    next_at: ClockTime,
}

impl ReturnSchedule {
    /// The time after which a rejected caller should come back, at the earliest
    /// after `least`. `rate` is the rate at which this node's callers are served.
    /// Counts the caller as one that comes back only if it does so within
    /// `time_left`.
    pub fn assign(
        &mut self,
        rate: RateLimit,
        least: TimeSpan,
        time_left: TimeSpan,
        now: ClockTime,
    ) -> TimeSpan {
        let at = self.next_at.max(now + least);
        let wait = now.until(at);
        if wait < time_left && rate.as_per_second() > 0.0 {
            self.next_at = at + numbers::span(MILLIS_PER_SECOND / rate.as_per_second());
        }
        wait
    }
}
