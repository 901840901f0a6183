use crate::clock::TimeSpan;

/// A set of pieces that can't be done before its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageRefusal {
    /// When what is in the queue now is expected to be done. Callers that come
    /// back sooner find it as full.
    pub retry_after: TimeSpan,
}
