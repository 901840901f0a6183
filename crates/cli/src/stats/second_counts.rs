use serde::Serialize;
use verbenahub_core::protocol::AnswerOutcome;

use crate::load::SampleEnd;

/// Requests that were due within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SecondCounts {
    /// Requests that were due.
    pub offered: u64,
    /// Whole answers within the deadline.
    pub done_in_time: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// All others: late, failed, unknown or not sent.
    pub other: u64,
}

impl SecondCounts {
    /// Counts one request.
    pub fn add(&mut self, end: SampleEnd, in_time: bool) {
        self.offered += 1;
        match end {
            SampleEnd::Answered {
                outcome: AnswerOutcome::Done,
                ..
            } if in_time => self.done_in_time += 1,
            SampleEnd::Answered {
                outcome: AnswerOutcome::NotRun,
                ..
            } => self.not_run += 1,
            SampleEnd::Answered { .. } | SampleEnd::Dropped => self.other += 1,
        }
    }
}
