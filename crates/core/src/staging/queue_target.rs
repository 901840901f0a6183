use crate::{clock::ClockTime, ids::ZoneName};

/// Calls after which a target's pace is its own and no longer the usual one.
const PACE_WEIGHT: f64 = 0.3;
/// Pace at which a target counts as slow against the published times.
const SLOW_PACE: f64 = 2.0;

/// One target of a queue.
#[derive(Clone, Debug)]
pub(super) struct QueueTarget {
    pub(super) zone: ZoneName,
    pub(super) slots: u32,
    pub(super) running: u32,
    /// Measured against expected time of its calls.
    pub(super) pace: f64,
    pub(super) failures: u32,
    /// Refusals since its last answer.
    pub(super) refusals: u32,
    pub(super) paused_until: ClockTime,
    pub(super) listed: bool,
    /// Room taken by results, those included that are being made.
    pub(super) taken: u64,
}

impl QueueTarget {
    pub(super) const fn new(zone: ZoneName, slots: u32) -> Self {
        Self {
            zone,
            slots,
            running: 0,
            pace: 1.0,
            failures: 0,
            refusals: 0,
            paused_until: ClockTime::ZERO,
            listed: true,
            taken: 0,
        }
    }

    pub(super) fn is_free(&self, now: ClockTime) -> bool {
        self.listed && self.running < self.slots && self.paused_until <= now
    }

    pub(super) fn observe_pace(&mut self, pace: f64) {
        self.pace += PACE_WEIGHT * (pace - self.pace);
    }

    pub(super) fn is_slow(&self) -> bool {
        self.pace > SLOW_PACE
    }
}
