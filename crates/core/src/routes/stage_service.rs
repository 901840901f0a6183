use serde::{Deserialize, Serialize};

use crate::{clock::TimeSpan, policy::numbers, units::ByteSize};

/// Full calls that may wait before a service counts as behind.
const BACKLOG_CALLS: f64 = 0.75;

/// How one target of a stage's service works. All figures are published with
/// the service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageService {
    /// Calls that a target works on at the same time.
    pub slots: u32,
    /// Pieces in one call at most.
    pub batch: usize,
    /// Time that each call takes, in milliseconds.
    pub call_ms: f64,
    /// Time that each piece adds to its call, in milliseconds.
    pub piece_ms: f64,
    /// Room for results at one target.
    pub room: ByteSize,
    /// How long a result is kept at its maker.
    pub result_lifetime: TimeSpan,
}

impl StageService {
    /// Expected wait above which the service counts as behind: what waits for
    /// the next calls of all targets is usual.
    #[must_use]
    pub fn backlog_limit(&self) -> TimeSpan {
        numbers::span(self.call_time(self.batch) * BACKLOG_CALLS)
    }

    /// Expected time of a call with `pieces` pieces, in milliseconds.
    #[must_use]
    pub fn call_time(&self, pieces: usize) -> f64 {
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        self.call_ms + self.piece_ms * f64::from(pieces)
    }
}
