use crate::{clock::TimeSpan, policy::numbers};

/// Weight of the newest call or wait: the last ten or so count.
const NEWEST_WEIGHT: f64 = 0.1;

/// What the calls and waits of a queue have been like of late. Calls are longer
/// than published: targets read what the pieces are made from.
#[derive(Clone, Debug)]
pub(super) struct RecentTimes {
    call_ms: f64,
    pace: f64,
    wait_ms: f64,
}

impl Default for RecentTimes {
    fn default() -> Self {
        Self {
            call_ms: 0.0,
            pace: 1.0,
            wait_ms: 0.0,
        }
    }
}

impl RecentTimes {
    /// Takes note of a call that was answered, with the time that it was
    /// expected to take.
    pub(super) fn note_call(&mut self, took_ms: f64, expected_ms: f64) {
        if self.call_ms <= 0.0 {
            self.call_ms = took_ms;
        }
        self.call_ms += NEWEST_WEIGHT * (took_ms - self.call_ms);
        let pace = took_ms / expected_ms.max(1.0);
        self.pace += NEWEST_WEIGHT * (pace - self.pace);
    }

    /// Takes note of how long a set that can be on time has waited for its
    /// call.
    pub(super) fn note_wait(&mut self, wait: TimeSpan) {
        self.wait_ms += NEWEST_WEIGHT * (numbers::millis(wait) - self.wait_ms);
    }

    /// Usual time of a call.
    pub(super) fn call(&self) -> TimeSpan {
        numbers::span(self.call_ms)
    }

    /// Usual time of a call against the published one.
    pub(super) const fn pace(&self) -> f64 {
        self.pace
    }

    /// Usual wait of a set that can be on time.
    pub(super) fn wait(&self) -> TimeSpan {
        numbers::span(self.wait_ms)
    }
}
