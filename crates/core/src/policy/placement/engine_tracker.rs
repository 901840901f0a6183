use crate::{
    clock::{ClockTime, TimeSpan},
    protocol::EngineOrder,
};

/// First delay after a failure. Doubles with each further one.
const FIRST_DELAY: TimeSpan = TimeSpan::from_secs(1);
/// Longest delay after a failure.
const LONGEST_DELAY: TimeSpan = TimeSpan::from_secs(60);

/// What the home of an engine waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TrackPhase {
    /// The time of the next read.
    Idle,
    /// The engine's state, until a time.
    Reading(ClockTime),
    /// The end of an order, until a time.
    Ordering(ClockTime),
}

/// What a node knows about an engine whose home it is.
#[derive(Clone, Debug)]
pub(super) struct EngineTracker {
    pub(super) phase: TrackPhase,
    pub(super) next_read: ClockTime,
    /// Whether a load has been ordered or is going on.
    pub(super) loading: bool,
    /// Since when the engine has held a model that it shall not hold.
    pub(super) surplus_since: Option<ClockTime>,
    failures: u32,
}

impl EngineTracker {
    pub(super) fn new(next_read: ClockTime) -> Self {
        Self {
            phase: TrackPhase::Idle,
            next_read,
            loading: false,
            surplus_since: None,
            failures: 0,
        }
    }

    /// Reads again after a while.
    pub(super) fn rest(&mut self, delay: TimeSpan, now: ClockTime) {
        self.phase = TrackPhase::Idle;
        self.next_read = now + delay;
    }

    /// Reads again later and later while failures go on.
    pub(super) fn fail(&mut self, now: ClockTime) {
        let delay = FIRST_DELAY * (1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.loading = false;
        self.rest(delay.min(LONGEST_DELAY), now);
    }

    pub(super) fn succeed(&mut self) {
        self.failures = 0;
    }

    pub(super) fn order(&mut self, order: &EngineOrder, until: ClockTime) {
        let loads = matches!(order, EngineOrder::LoadModel { .. });
        self.loading = loads;
        self.phase = TrackPhase::Ordering(until);
    }
}
