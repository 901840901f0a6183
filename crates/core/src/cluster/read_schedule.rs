use fastrand::Rng;

use super::timings::{
    INITIAL_READ_BACKOFF, MAX_READ_BACKOFF, MAX_VOLUNTEER_DOUBLINGS, MIN_READ_INTERVAL,
    VOLUNTEER_AGE, VOLUNTEER_SPREAD_PER_NODE_MS, WATCH_WAIT,
};
use crate::clock::{ClockTime, TimeSpan};

/// Decides when this node reads a feed from the platform.
///
/// An assigned reader watches the feed continuously and backs off after
/// failures. Any other node volunteers to read once when the last confirmation
/// is too old, after a random delay that grows with the cluster size and with
/// each failure.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadSchedule {
    /// Whether the node is one of its availability zone's assigned readers.
    pub(super) assigned: bool,
    next_read_at: ClockTime,
    failures: u32,
    volunteer_at: Option<ClockTime>,
    volunteer_attempts: u32,
}

impl ReadSchedule {
    pub(super) const fn new(first_read: ClockTime) -> Self {
        Self {
            assigned: true,
            next_read_at: first_read,
            failures: 0,
            volunteer_at: None,
            volunteer_attempts: 0,
        }
    }

    /// Returns how long the platform may hold the read, if one is due now.
    /// `unconfirmed_for` is the time since the last confirmation.
    pub(super) fn due(
        &mut self,
        now: ClockTime,
        unconfirmed_for: TimeSpan,
        nodes: usize,
        rng: &mut Rng,
    ) -> Option<TimeSpan> {
        if self.assigned {
            self.volunteer_at = None;
            return (now >= self.next_read_at).then_some(WATCH_WAIT);
        }
        if unconfirmed_for <= VOLUNTEER_AGE {
            self.volunteer_at = None;
            self.volunteer_attempts = 0;
            return None;
        }
        let Some(volunteer_at) = self.volunteer_at else {
            self.volunteer_at = Some(now + self.volunteer_delay(nodes, rng));
            return None;
        };
        if now < volunteer_at {
            return None;
        }
        self.volunteer_at = None;
        self.volunteer_attempts = (self.volunteer_attempts + 1).min(MAX_VOLUNTEER_DOUBLINGS);
        Some(TimeSpan::ZERO)
    }

    /// Records the success of a read that began at `started`.
    pub(super) fn record_success(&mut self, now: ClockTime, started: ClockTime) {
        self.failures = 0;
        self.next_read_at = now.max(started + MIN_READ_INTERVAL);
    }

    /// Records a failed read and schedules the next one with exponential backoff
    /// and jitter.
    pub(super) fn record_failure(&mut self, now: ClockTime, rng: &mut Rng) {
        let doubled = INITIAL_READ_BACKOFF.as_millis() << self.failures.min(8);
        let backoff = doubled.min(MAX_READ_BACKOFF.as_millis());
        self.failures = self.failures.saturating_add(1);
        self.next_read_at = now + TimeSpan::from_millis(rng.u64(backoff / 2..=backoff));
    }

    /// Records a watch that was cut while it waited, and schedules the next one as
    /// after a first failure.
    pub(super) fn record_cut(&mut self, now: ClockTime, rng: &mut Rng) {
        self.failures = 0;
        self.record_failure(now, rng);
    }

    fn volunteer_delay(&self, nodes: usize, rng: &mut Rng) -> TimeSpan {
        let nodes = u64::try_from(nodes).unwrap_or(u64::MAX);
        let step = VOLUNTEER_SPREAD_PER_NODE_MS << self.volunteer_attempts;
        let spread = nodes.saturating_mul(step).max(1_000);
        TimeSpan::from_millis(rng.u64(0..spread))
    }
}
