use super::AdmissionId;
use crate::clock::{ClockTime, TimeSpan};

/// A call that waits for a slot. Sorts by latest start, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuedCall {
    /// Latest time at which the call can start for its request to meet the
    /// deadline.
    pub latest_start: ClockTime,
    /// The request that the call belongs to.
    pub request: AdmissionId,
    /// Expected time in execution.
    pub work: TimeSpan,
}
