use super::PoolIndex;
use crate::clock::TimeSpan;

/// Why a request is refused, and when it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// The pool with the longest predicted wait, if any.
    pub pool: Option<PoolIndex>,
    /// Time after which a retry may be admitted; `None` if no retry with this
    /// deadline can be.
    pub retry_after: Option<TimeSpan>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its stages take longer than its deadline allows, even without waiting.
    DeadlineTooShort,
    /// It would wait too long to finish before its deadline.
    Overload,
    /// The maximum number of requests is in progress.
    Full,
}
