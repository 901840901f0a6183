use crate::clock::{ClockTime, TimeSpan};

/// Interval between gossip rounds of a node that is ready and up to date.
const STEADY_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Interval of a node that is starting, not ready, or not up to date.
const FAST_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Time after its start for which a node gossips at the fast interval. Several
/// rounds longer than it takes until all nodes of a fleet that starts at once
/// know each other.
const STARTUP_PERIOD: TimeSpan = TimeSpan::from_millis(5_000);

/// Maximum time for which a starting node delays its first round until it is
/// active. If it gossiped earlier, its change to active would have to reach all
/// nodes in a second update.
const ACTIVATION_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);
/// Every round whose number is a multiple of this one goes to a seed, so that
/// parts of a fleet that do not know of each other join again.
const SEED_ROUND_INTERVAL: u64 = 8;
/// Number of an additional round that goes to a seed. By then the seeds have
/// heard from all nodes that started at the same time.
const SECOND_SEED_ROUND: u64 = 2;

/// Decides when a node gossips, and which rounds go to a seed.
///
/// Designed for this load: all nodes were lost at once and come back under full
/// load. Until they know each other, each node collects only for itself, and
/// calls to targets are not shared between the requests of different nodes.
#[derive(Clone, Copy, Debug)]
pub struct GossipSchedule {
    started: ClockTime,
}

impl GossipSchedule {
    /// Creates the schedule of a node that started at the given time.
    #[must_use]
    pub const fn new(started: ClockTime) -> Self {
        Self { started }
    }

    /// Whether the node has run for long enough to know the others.
    #[must_use]
    pub fn is_past_startup(&self, now: ClockTime) -> bool {
        now.since(self.started) >= STARTUP_PERIOD
    }

    /// Returns the maximum time for which the first round may be delayed until
    /// the node is active.
    #[must_use]
    pub const fn activation_timeout(&self) -> TimeSpan {
        ACTIVATION_TIMEOUT
    }

    /// Whether a round goes to a seed. The first round has number 0.
    #[must_use]
    pub const fn is_seed_round(round: u64) -> bool {
        round.is_multiple_of(SEED_ROUND_INTERVAL) || round == SECOND_SEED_ROUND
    }

    /// Returns the time until the next round. `is_up_to_date` tells that the
    /// node is ready and that its configuration and targets are known to be
    /// current.
    #[must_use]
    pub fn interval(&self, is_up_to_date: bool, now: ClockTime) -> TimeSpan {
        if is_up_to_date && self.is_past_startup(now) {
            STEADY_INTERVAL
        } else {
            FAST_INTERVAL
        }
    }
}
