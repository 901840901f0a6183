use super::ProgressRule;
use crate::clock::{ClockTime, TimeSpan};

/// What to do about a call in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressAction {
    /// Wait for progress until this time.
    WaitUntil(ClockTime),
    /// Probe the target over another connection. Returned at most once after
    /// each progress.
    Probe,
    /// Give up the call and close its connection.
    Abandon,
}

/// Detects that one call has stalled.
///
/// A connection on which nothing arrives any more reports no error, so a call is
/// judged by its progress. When no bytes arrive in the expected time, the target
/// is probed; when none arrive for as long again, the call is abandoned.
#[derive(Clone, Copy, Debug)]
pub struct ProgressWatch {
    rule: ProgressRule,
    /// Time within which the next bytes are expected.
    expected: TimeSpan,
    last_progress: ClockTime,
    probed: bool,
}

impl ProgressWatch {
    /// Watches a call that was sent at `now`. `first_byte` is the learned time to
    /// its first bytes, if known.
    #[must_use]
    pub fn new(rule: ProgressRule, first_byte: Option<TimeSpan>, now: ClockTime) -> Self {
        Self {
            rule,
            expected: rule.expected(first_byte),
            last_progress: now,
            probed: false,
        }
    }

    /// Records that bytes arrived at `now`. `gap` is the learned time to the next
    /// ones, if known.
    pub fn note_progress(&mut self, gap: Option<TimeSpan>, now: ClockTime) {
        self.expected = self.rule.expected(gap);
        self.last_progress = now;
        self.probed = false;
    }

    /// Records that a probe was not answered: the next poll abandons the call.
    pub fn note_probe_failed(&mut self) {
        self.expected = TimeSpan::ZERO;
        self.probed = true;
    }

    /// Returns what to do at `now`.
    pub fn poll(&mut self, now: ClockTime) -> ProgressAction {
        let probe_at = self.last_progress + self.expected;
        let abandon_at = probe_at + self.expected;
        if now >= abandon_at {
            return ProgressAction::Abandon;
        }
        if now < probe_at {
            return ProgressAction::WaitUntil(probe_at);
        }
        if !self.probed {
            self.probed = true;
            return ProgressAction::Probe;
        }
        ProgressAction::WaitUntil(abandon_at)
    }
}
