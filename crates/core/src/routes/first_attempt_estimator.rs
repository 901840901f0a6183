use crate::{clock::TimeSpan, policy::numbers};

/// Shortest deadline of a first attempt, as a share of the longest deadline seen.
/// The deadlines of callers of one kind differ by about 15%.
const MIN_FIRST_DEADLINE_SHARE: f64 = 0.8;
/// Typical deadline of a first attempt, as a share of the longest deadline seen.
const TYPICAL_FIRST_DEADLINE_SHARE: f64 = 0.92;

/// Estimates from the deadlines of requests on a route which are retries, and
/// how long ago the first attempt was.
///
/// During a burst, rejected callers retry. The goal of a request counts from its
/// first attempt, but a request carries only its remaining time, and that varies
/// between callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstAttemptEstimator {
    longest: TimeSpan,
}

impl FirstAttemptEstimator {
    /// Records the deadline of a request. Returns the estimated time since its
    /// first attempt, zero if it probably is the first attempt.
    pub fn observe_deadline(&mut self, deadline: TimeSpan) -> TimeSpan {
        self.longest = self.longest.max(deadline);
        let longest = numbers::millis(self.longest);
        if numbers::millis(deadline) >= longest * MIN_FIRST_DEADLINE_SHARE {
            return TimeSpan::ZERO;
        }
        numbers::span(longest * TYPICAL_FIRST_DEADLINE_SHARE).saturating_sub(deadline)
    }
}
