use crate::clock::TimeSpan;

/// State of a pool's slots, for metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotStatus {
    /// Slots of this node.
    pub limit: f64,
    /// Calls that hold a slot.
    pub running: u32,
    /// Calls that wait for one.
    pub waiting: usize,
    /// Work admitted and not started.
    pub pending: TimeSpan,
    /// How much longer calls take than their work.
    pub slowdown: f64,
}
