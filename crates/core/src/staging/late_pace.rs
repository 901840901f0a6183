use std::collections::VecDeque;

use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
};

/// Time over which the pace is taken. Some calls long, and short against the
/// deadlines of callers.
const PACE_WINDOW: TimeSpan = TimeSpan::from_secs(2);

/// How many pieces of late requests get places in calls, beside those that are
/// on time.
#[derive(Clone, Debug, Default)]
pub(super) struct LatePace {
    calls: VecDeque<(ClockTime, usize)>,
}

impl LatePace {
    /// Takes note of the pieces in one call.
    pub(super) fn note(&mut self, pieces: usize, now: ClockTime) {
        if pieces > 0 {
            self.calls.push_back((now, pieces));
        }
        while let Some((at, _)) = self.calls.front()
            && now.since(*at) > PACE_WINDOW
        {
            self.calls.pop_front();
        }
    }

    /// Pieces in a millisecond.
    pub(super) fn per_ms(&self, now: ClockTime) -> f64 {
        let recent = self.calls.iter();
        let recent = recent.filter(|(at, _)| now.since(*at) <= PACE_WINDOW);
        let pieces: usize = recent.map(|(_, pieces)| pieces).sum();
        numbers::count(pieces) / numbers::millis(PACE_WINDOW)
    }
}
