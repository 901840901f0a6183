use super::TargetPace;
use crate::{clock::ClockTime, ids::ZoneName};

/// Weight of the newest call in a target's moving average of slowdowns.
const SLOWDOWN_WEIGHT: f64 = 0.3;
/// Slowdown against the published times above which a target counts as slow.
const SLOW_TARGET_THRESHOLD: f64 = 2.0;

const MILLIS_PER_SECOND: f64 = 1_000.0;

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
    /// Present while the target has a limit.
    pub(super) pace: Option<TargetPace>,
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
            pace: None,
            listed: true,
            used_room: 0,
        }
    }

    pub(super) fn is_free(&self, now: ClockTime) -> bool {
        self.listed && self.running < self.slots && self.open_at() <= now
    }

    /// Time from which the target may be called if it has a free slot.
    pub(super) fn open_at(&self) -> ClockTime {
        let paced = self.pace.map_or(ClockTime::ZERO, |pace| pace.open_at);
        self.paused_until.max(paced)
    }

    /// Number of calls of `call_ms` that the target can run at the same time: its
    /// slots, or fewer if its limit allows fewer calls.
    pub(super) fn usable_slots(&self, call_ms: f64) -> f64 {
        let slots = f64::from(self.slots);
        let limited = self
            .pace
            .map(|pace| pace.rate.as_per_second() * call_ms / MILLIS_PER_SECOND);
        limited.map_or(slots, |limited| limited.min(slots)) / self.slowdown.max(1.0)
    }

    pub(super) fn record_slowdown(&mut self, slowdown: f64) {
        self.slowdown += SLOWDOWN_WEIGHT * (slowdown - self.slowdown);
    }

    pub(super) fn is_slow(&self) -> bool {
        self.slowdown > SLOW_TARGET_THRESHOLD
    }
}
