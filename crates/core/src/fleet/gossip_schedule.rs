use crate::clock::{ClockTime, TimeSpan};

/// Interval between rounds of a node that knows what it needs.
const USUAL_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Interval of a node that depends on others for news, or has just started.
const URGENT_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Time after its start for which a node hurries. Several rounds more than it
/// takes until all nodes of a fleet that starts at once know each other.
const START_SPAN: TimeSpan = TimeSpan::from_millis(5_000);

/// Time for which a node that starts waits until it takes part in shared work
/// before it tells anyone of itself. Told earlier, the news that it does would
/// have to reach all others a second time.
const FIRST_WAIT: TimeSpan = TimeSpan::from_millis(300);
/// One round in so many goes to a seed, so that parts of a fleet that don't
/// know of each other meet again.
const SEED_ROUNDS: u64 = 8;
/// The round in which a node asks a seed again after its first one: by then the
/// seeds have heard of all nodes that started with it.
const SECOND_SEED_ROUND: u64 = 2;

/// How often a node gossips, and when with a seed.
///
/// Answers to this load pattern: all nodes were lost at once and come back
/// under full load. Until they know each other each one collects for itself,
/// and calls of one request each carry a part of the load only.
#[derive(Clone, Copy, Debug)]
pub struct GossipSchedule {
    started: ClockTime,
}

impl GossipSchedule {
    /// The pace of a node that starts now.
    #[must_use]
    pub const fn new(started: ClockTime) -> Self {
        Self { started }
    }

    /// Whether the node has run for long enough to know the others.
    #[must_use]
    pub fn is_past_startup(&self, now: ClockTime) -> bool {
        now.since(self.started) >= START_SPAN
    }

    /// How long the first round may wait for the node to take part in shared
    /// work.
    #[must_use]
    pub const fn activation_timeout(&self) -> TimeSpan {
        FIRST_WAIT
    }

    /// Whether a round goes to a seed.
    #[must_use]
    pub const fn is_seed_round(round: u64) -> bool {
        round.is_multiple_of(SEED_ROUNDS) || round == SECOND_SEED_ROUND
    }

    /// Time until the next round. `is_supplied` says that the node is ready and
    /// knows that what it holds is current.
    #[must_use]
    pub fn interval(&self, is_supplied: bool, now: ClockTime) -> TimeSpan {
        if is_supplied && self.is_past_startup(now) {
            USUAL_INTERVAL
        } else {
            URGENT_INTERVAL
        }
    }
}
