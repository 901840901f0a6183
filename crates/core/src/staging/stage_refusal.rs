use crate::clock::TimeSpan;

/// Refusal of a set of pieces that is not expected to finish before its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageRefusal {
    /// Expected time until the set would have been done, counting the pieces now
    /// ahead of it. Callers that retry sooner find the queue just as full.
    pub retry_after: TimeSpan,
}
