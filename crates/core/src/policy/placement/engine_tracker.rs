use crate::{
    clock::{ClockTime, TimeSpan},
    protocol::EngineOrder,
};

/// Delay after the first failure. Doubles with each further one.
const FIRST_RETRY_DELAY: TimeSpan = TimeSpan::from_secs(1);
/// Maximum delay after a failure.
const MAX_RETRY_DELAY: TimeSpan = TimeSpan::from_secs(60);

/// What the owner of an engine waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TrackerPhase {
    /// The time of the next read of the engine's state.
    Idle,
    /// The engine's state, until this time.
    Reading(ClockTime),
    /// The outcome of an order, until this time.
    Ordering(ClockTime),
}

/// State that the owner of an engine keeps about it.
#[derive(Clone, Debug)]
pub(super) struct EngineTracker {
    pub(super) phase: TrackerPhase,
    pub(super) next_read: ClockTime,
    /// Whether the engine loads a model or was ordered to.
    pub(super) loading: bool,
    /// Since when the engine has held a model that it should not hold.
    pub(super) unwanted_since: Option<ClockTime>,
    /// Consecutive failures of reads and orders.
    failures: u32,
}

impl EngineTracker {
    pub(super) fn new(next_read: ClockTime) -> Self {
        Self {
            phase: TrackerPhase::Idle,
            next_read,
            loading: false,
            unwanted_since: None,
            failures: 0,
        }
    }

    /// Schedules the next read after a delay.
    pub(super) fn schedule_read(&mut self, delay: TimeSpan, now: ClockTime) {
        self.phase = TrackerPhase::Idle;
        self.next_read = now + delay;
    }

    /// Schedules the next read with exponential backoff after a failure.
    pub(super) fn back_off(&mut self, now: ClockTime) {
        let delay = FIRST_RETRY_DELAY * (1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.loading = false;
        self.schedule_read(delay.min(MAX_RETRY_DELAY), now);
    }

    pub(super) fn reset_failures(&mut self) {
        self.failures = 0;
    }

    pub(super) fn start_order(&mut self, order: &EngineOrder, until: ClockTime) {
        let is_load = matches!(order, EngineOrder::LoadModel { .. });
        self.loading = is_load;
        self.phase = TrackerPhase::Ordering(until);
    }
}
