use serde::{Deserialize, Serialize};

use crate::{clock::TimeSpan, policy::numbers, units::ByteSize};

/// Queueing time above which a service counts as overloaded, as a multiple of
/// the time of a call with a full batch.
const BACKLOG_CALL_MULTIPLE: f64 = 0.75;

/// Capacity and call times of one target of a service that runs a stage. The
/// configuration of the service declares them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageService {
    /// Calls that a target runs concurrently.
    pub slots: u32,
    /// Maximum number of pieces in one call. A piece is one of the equal parts
    /// into which the work of a stage for one request is split.
    pub batch: usize,
    /// Fixed time of each call, in milliseconds.
    pub call_ms: f64,
    /// Additional time of a call for each of its pieces, in milliseconds.
    pub piece_ms: f64,
    /// Memory of one target for results.
    pub room: ByteSize,
    /// How long the target that produced a result keeps it.
    pub result_lifetime: TimeSpan,
}

impl StageService {
    /// Expected queueing time above which the service counts as overloaded.
    /// Waiting for the next calls of all targets is normal.
    #[must_use]
    pub fn backlog_limit(&self) -> TimeSpan {
        numbers::span(self.call_time(self.batch) * BACKLOG_CALL_MULTIPLE)
    }

    /// Expected duration of a call with `pieces` pieces, in milliseconds.
    #[must_use]
    pub fn call_time(&self, pieces: usize) -> f64 {
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        self.call_ms + self.piece_ms * f64::from(pieces)
    }
}
