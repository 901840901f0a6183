use crate::clock::ClockTime;

/// The load that a target has reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests in execution.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of slots.
    pub slots: u32,
    /// When the report arrived.
    pub at: ClockTime,
}
