use crate::clock::TimeSpan;

/// A set of pieces that can't be done before its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageRefusal {
    /// When the queue is expected to have room again.
    pub retry_after: TimeSpan,
}
