use std::collections::VecDeque;

use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
};

/// Time over which the throughput is measured. Several calls long, and short
/// against the deadlines of callers.
const RATE_WINDOW: TimeSpan = TimeSpan::from_secs(2);

/// Time without service after which late requests are not expected to get any.
/// Several calls long.
const STARVATION_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// Throughput of late requests: how many of their pieces get into calls beside
/// those of requests that are on time.
#[derive(Clone, Debug, Default)]
pub(super) struct LateThroughput {
    calls: VecDeque<(ClockTime, usize)>,
    /// Since when late requests have waited without any being served.
    starved_since: Option<ClockTime>,
}

impl LateThroughput {
    /// Records the number of late pieces in a call.
    pub(super) fn record_call(&mut self, pieces: usize, now: ClockTime) {
        if pieces > 0 {
            self.calls.push_back((now, pieces));
            self.starved_since = Some(now);
        }
        while let Some((at, _)) = self.calls.front()
            && now.since(*at) > RATE_WINDOW
        {
            self.calls.pop_front();
        }
    }

    /// Records whether late requests are waiting.
    pub(super) fn record_waiting(&mut self, waiting: bool, now: ClockTime) {
        self.starved_since = waiting.then(|| self.starved_since.unwrap_or(now));
    }

    /// Fraction, from 0 to 1, of `ASSUMED_LATE_SHARE` that late requests are
    /// expected to get. That share is the part of all places in calls to targets
    /// that is assumed for late requests. The fraction falls from 1 to 0 while they
    /// wait and are not served.
    pub(super) fn expected_fraction(&self, now: ClockTime) -> f64 {
        let starved_for = self
            .starved_since
            .map_or(TimeSpan::ZERO, |since| now.since(since));
        1.0 - numbers::millis(starved_for.min(STARVATION_TIMEOUT))
            / numbers::millis(STARVATION_TIMEOUT)
    }

    /// Late pieces sent per millisecond.
    pub(super) fn pieces_per_ms(&self, now: ClockTime) -> f64 {
        let recent = self.calls.iter();
        let recent = recent.filter(|(at, _)| now.since(*at) <= RATE_WINDOW);
        let pieces: usize = recent.map(|(_, pieces)| pieces).sum();
        numbers::count(pieces) / numbers::millis(RATE_WINDOW)
    }
}
