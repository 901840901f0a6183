use super::PoolIndex;
use crate::clock::TimeSpan;

/// Why and for how long a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// The pool that is short, if it is one.
    pub pool: Option<PoolIndex>,
    /// When a return makes sense; nothing if never with this deadline.
    pub retry_after: Option<TimeSpan>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Its stages need longer than its deadline allows, even without waiting.
    DeadlineTooShort,
    /// It would wait too long to finish in time.
    Overload,
    /// As many requests as allowed are under way.
    Full,
}
