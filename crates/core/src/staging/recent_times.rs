use crate::{clock::TimeSpan, policy::numbers};

/// Weight of the newest call or wait in the moving averages: about the last ten
/// count.
const NEWEST_WEIGHT: f64 = 0.1;

/// Moving averages of a queue's recent calls and waits. Calls take longer than
/// published, because targets also read the inputs of the pieces.
#[derive(Clone, Debug)]
pub(super) struct RecentTimes {
    call_ms: f64,
    slowdown: f64,
    wait_ms: f64,
}

impl Default for RecentTimes {
    fn default() -> Self {
        Self {
            call_ms: 0.0,
            slowdown: 1.0,
            wait_ms: 0.0,
        }
    }
}

impl RecentTimes {
    /// Records an answered call with its measured and its expected time.
    pub(super) fn record_call(&mut self, took_ms: f64, expected_ms: f64) {
        if self.call_ms <= 0.0 {
            self.call_ms = took_ms;
        }
        self.call_ms += NEWEST_WEIGHT * (took_ms - self.call_ms);
        let slowdown = took_ms / expected_ms.max(1.0);
        self.slowdown += NEWEST_WEIGHT * (slowdown - self.slowdown);
    }

    /// Records how long a set that can be on time has waited for its call.
    pub(super) fn record_wait(&mut self, wait: TimeSpan) {
        self.wait_ms += NEWEST_WEIGHT * (numbers::millis(wait) - self.wait_ms);
    }

    /// Average time of a call.
    pub(super) fn call(&self) -> TimeSpan {
        numbers::span(self.call_ms)
    }

    /// Average ratio of the measured to the published time of a call.
    pub(super) const fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Average wait of a set that can be on time.
    pub(super) fn wait(&self) -> TimeSpan {
        numbers::span(self.wait_ms)
    }
}
