use crate::clock::TimeSpan;

/// State of a pool's slots on this node, for metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotStatus {
    /// Number of slots.
    pub limit: f64,
    /// Calls that hold a slot.
    pub running: u32,
    /// Calls that wait for a slot.
    pub waiting: usize,
    /// Work of admitted requests that has not started.
    pub pending: TimeSpan,
    /// Mean ratio of the time that calls take to their work.
    pub slowdown: f64,
}
