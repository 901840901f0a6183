use crate::{clock::ClockTime, units::RateLimit};

/// How often a queue may call a target that has named a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetPace {
    /// Calls a second.
    pub rate: RateLimit,
    /// Earliest time of the next call.
    pub open_at: ClockTime,
}
