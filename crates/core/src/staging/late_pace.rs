use std::collections::VecDeque;

use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
};

/// Time over which the pace is taken. Some calls long, and short against the
/// deadlines of callers.
const PACE_WINDOW: TimeSpan = TimeSpan::from_secs(2);

/// Time without a place after which late requests are not counted on to get
/// any. Some calls long.
const STARVED_SPAN: TimeSpan = TimeSpan::from_secs(1);

/// How many pieces of late requests get places in calls, beside those that are
/// on time.
#[derive(Clone, Debug, Default)]
pub(super) struct LatePace {
    calls: VecDeque<(ClockTime, usize)>,
    /// Since when late requests have waited and none got a place.
    starved_since: Option<ClockTime>,
}

impl LatePace {
    /// Takes note of the pieces in one call.
    pub(super) fn note(&mut self, pieces: usize, now: ClockTime) {
        if pieces > 0 {
            self.calls.push_back((now, pieces));
            self.starved_since = Some(now);
        }
        while let Some((at, _)) = self.calls.front()
            && now.since(*at) > PACE_WINDOW
        {
            self.calls.pop_front();
        }
    }

    /// Takes note of whether late requests wait.
    pub(super) fn note_waiting(&mut self, waiting: bool, now: ClockTime) {
        self.starved_since = waiting.then(|| self.starved_since.unwrap_or(now));
    }

    /// Part of their usual share of places that late requests can be counted
    /// on to get: less and less while they wait and get none.
    pub(super) fn trust(&self, now: ClockTime) -> f64 {
        let starved = self
            .starved_since
            .map_or(TimeSpan::ZERO, |since| now.since(since));
        1.0 - numbers::millis(starved.min(STARVED_SPAN)) / numbers::millis(STARVED_SPAN)
    }

    /// Pieces in a millisecond.
    pub(super) fn per_ms(&self, now: ClockTime) -> f64 {
        let recent = self.calls.iter();
        let recent = recent.filter(|(at, _)| now.since(*at) <= PACE_WINDOW);
        let pieces: usize = recent.map(|(_, pieces)| pieces).sum();
        numbers::count(pieces) / numbers::millis(PACE_WINDOW)
    }
}
