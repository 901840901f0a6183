use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use verbenahub_core::clock::ClockTime;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Counts the calls to a feed.
#[derive(Debug, Default)]
pub struct CallCounter {
    state: Mutex<CounterState>,
}

/// Answer of `GET /calls`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallReport {
    /// Calls since the start. A waiting watch counts one.
    pub total: u64,
    /// Most calls in one second.
    pub peak_per_second: u64,
}

#[derive(Debug, Default)]
struct CounterState {
    report: CallReport,
    second: u64,
    in_second: u64,
}

impl CallCounter {
    /// Counts a call.
    pub fn add(&self, now: ClockTime) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let second = now.as_millis() / MILLIS_PER_SECOND;
        if state.second != second {
            state.second = second;
            state.in_second = 0;
        }
        state.in_second += 1;
        state.report.total += 1;
        state.report.peak_per_second = state.report.peak_per_second.max(state.in_second);
    }

    /// All counts.
    #[must_use]
    pub fn report(&self) -> CallReport {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.report
    }
}
