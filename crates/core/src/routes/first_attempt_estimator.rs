use crate::{clock::TimeSpan, policy::numbers};

/// Part of the longest deadline from which a deadline can be that of a first
/// attempt. Callers of one kind differ by some 15% in the time they allow.
const FIRST_SHARE: f64 = 0.8;
/// Usual deadline of a first attempt as a part of the longest one.
const USUAL_SHARE: f64 = 0.92;

/// Tells from their deadlines which callers of a route have been here before.
///
/// Answers to this load pattern: in a burst, refused callers come back. Their
/// goal counts from their first attempt, of which nothing but the time they
/// have left tells, and that differs from caller to caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstAttemptEstimator {
    longest: TimeSpan,
}

impl FirstAttemptEstimator {
    /// Takes note of a deadline. Returns how long ago the caller has probably
    /// made its first attempt.
    pub fn observe_deadline(&mut self, deadline: TimeSpan) -> TimeSpan {
        self.longest = self.longest.max(deadline);
        let longest = numbers::millis(self.longest);
        if numbers::millis(deadline) >= longest * FIRST_SHARE {
            return TimeSpan::ZERO;
        }
        numbers::span(longest * USUAL_SHARE).saturating_sub(deadline)
    }
}
