use super::AdmissionId;
use crate::clock::{ClockTime, TimeSpan};

/// A call that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuedCall {
    /// When it must start at the latest.
    pub latest_start: ClockTime,
    /// The request.
    pub entry: AdmissionId,
    /// Its work.
    pub work: TimeSpan,
}
