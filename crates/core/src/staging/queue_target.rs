use crate::{clock::ClockTime, ids::ZoneName};

/// Weight of the newest call in a target's moving average of slowdowns.
const SLOWDOWN_WEIGHT: f64 = 0.3;
/// Slowdown against the published times above which a target counts as slow.
const SLOW_TARGET_THRESHOLD: f64 = 2.0;

/// State of one target of a queue.
#[derive(Clone, Debug)]
pub(super) struct QueueTarget {
    pub(super) zone: ZoneName,
    pub(super) slots: u32,
    pub(super) running: u32,
    /// Moving average of the measured over the expected time of its calls.
    pub(super) slowdown: f64,
    pub(super) failures: u32,
    /// Refused calls since its last answer.
    pub(super) refusals: u32,
    pub(super) paused_until: ClockTime,
    pub(super) listed: bool,
    /// Room occupied by results, in bytes, including those being produced.
    pub(super) used_room: u64,
}

impl QueueTarget {
    pub(super) const fn new(zone: ZoneName, slots: u32) -> Self {
        Self {
            zone,
            slots,
            running: 0,
            slowdown: 1.0,
            failures: 0,
            refusals: 0,
            paused_until: ClockTime::ZERO,
            listed: true,
            used_room: 0,
        }
    }

    pub(super) fn is_free(&self, now: ClockTime) -> bool {
        self.listed && self.running < self.slots && self.paused_until <= now
    }

    pub(super) fn record_slowdown(&mut self, slowdown: f64) {
        self.slowdown += SLOWDOWN_WEIGHT * (slowdown - self.slowdown);
    }

    pub(super) fn is_slow(&self) -> bool {
        self.slowdown > SLOW_TARGET_THRESHOLD
    }
}
