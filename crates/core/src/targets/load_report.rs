use crate::clock::ClockTime;

/// What a target has said of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in execution.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
    /// When the report arrived.
    pub at: ClockTime,
}
