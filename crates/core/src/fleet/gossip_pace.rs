use crate::clock::{ClockTime, TimeSpan};

/// Interval between rounds of a node that knows what it needs.
const USUAL_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Interval of a node that depends on others for news, or has just started.
const URGENT_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Time after its start for which a node hurries. Several rounds more than it
/// takes until all nodes of a fleet that starts at once know each other.
const START_SPAN: TimeSpan = TimeSpan::from_millis(5_000);

/// How often a node gossips.
///
/// Answers to this load pattern: all nodes were lost at once and come back
/// under full load. Until they know each other each one collects for itself,
/// and calls of one request each carry a part of the load only.
#[derive(Clone, Copy, Debug)]
pub struct GossipPace {
    started: ClockTime,
}

impl GossipPace {
    /// The pace of a node that starts now.
    #[must_use]
    pub const fn new(started: ClockTime) -> Self {
        Self { started }
    }

    /// Whether the node has run for long enough to know the others.
    #[must_use]
    pub fn is_settled(&self, now: ClockTime) -> bool {
        now.since(self.started) >= START_SPAN
    }

    /// Time until the next round. `is_supplied` says that the node is ready and
    /// knows that what it holds is current.
    #[must_use]
    pub fn interval(&self, is_supplied: bool, now: ClockTime) -> TimeSpan {
        if is_supplied && self.is_settled(now) {
            USUAL_INTERVAL
        } else {
            URGENT_INTERVAL
        }
    }
}
