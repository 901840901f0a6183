//! Scheduling: the order of waiting sets, the choice of a target, and expected
//! waiting times.

use super::{
    CallPiece, SetNumber, StageQueue, StageSet, queue_target::QueueTarget, queued_set::QueuedSet,
    stage_queue::MAX_PAUSE,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{TargetId, ZoneName},
    policy::numbers,
};

/// Number of targets in a zone from which on sets wait only the minimum for
/// them: one of so many becomes free within half a call, although other sets wait
/// for them as well.
const ZONE_TARGETS_FOR_MIN_WAIT: f64 = 4.0;
/// Shortest wait for a target in a set's preferred zone, as a fraction of the
/// time of a full call. Does not apply to a zone without targets.
const MIN_LOCALITY_WAIT: f64 = 0.5;
/// Time by which each lower priority delays a set in the order. This is a third
/// of a call: priorities decide between sets that are due at about the same
/// time.
const PRIORITY_STEP: TimeSpan = TimeSpan::from_millis(100);
/// Priority value from which on all lower priorities are treated alike.
pub(super) const LOWEST_DISTINCT_PRIORITY: u8 = 4;

impl StageQueue {
    pub(super) fn room_left(&self, target: &QueueTarget) -> u64 {
        self.service
            .room
            .as_bytes()
            .saturating_sub(target.used_room)
    }

    /// Whether a set may run in a zone: its preferred one, or any other once it
    /// has waited for the locality wait.
    pub(super) fn may_run_in(&self, set: &QueuedSet, zone: &ZoneName, now: ClockTime) -> bool {
        let Some(preferred) = set
            .set
            .preferred_zone
            .as_ref()
            .filter(|preferred| *preferred != zone)
        else {
            return true;
        };
        now.since(set.arrived_at) >= self.locality_wait(preferred)
    }

    /// How long a set waits for a target in its preferred zone: until one of the
    /// targets there is probably free, at most the time of a full call.
    fn locality_wait(&self, preferred: &ZoneName) -> TimeSpan {
        let Some(targets) = self.zone_targets.get(preferred) else {
            return TimeSpan::ZERO;
        };
        let call_ms = self.service.call_time(self.service.batch);
        let fraction =
            MIN_LOCALITY_WAIT * ZONE_TARGETS_FOR_MIN_WAIT / numbers::count(*targets).max(1.0);
        numbers::span(call_ms * fraction.clamp(MIN_LOCALITY_WAIT, 1.0))
    }

    /// Picks a free target for a set: one in its preferred zone if possible, and
    /// among equals the fastest. A slow target is used only if no fast one is
    /// available or more pieces wait than fit one call.
    pub(super) fn pick_target(&self, number: SetNumber, now: ClockTime) -> Option<TargetId> {
        let set = self.sets.get(&number)?;
        let waiting = self.waiting_pieces();
        let any_fast = self
            .targets
            .values()
            .any(|target| target.listed && !target.is_slow() && target.open_at() <= now);
        let candidates = self.targets.iter().filter(|(_, target)| {
            let is_acceptable = !target.is_slow() || !any_fast || waiting > self.service.batch;
            let has_room = self.room_left(target) >= set.set.piece_bytes;
            target.is_free(now)
                && is_acceptable
                && has_room
                && self.may_run_in(set, &target.zone, now)
        });
        let is_remote = |target: &QueueTarget| {
            let preferred = set.set.preferred_zone.as_ref();
            preferred.is_some_and(|preferred| *preferred != target.zone)
        };
        let best = candidates.min_by(|left, right| {
            let by_zone = is_remote(left.1).cmp(&is_remote(right.1));
            by_zone.then(left.1.slowdown.total_cmp(&right.1.slowdown))
        })?;
        Some(best.0.clone())
    }

    /// Takes the pieces of a call to `target` from the waiting sets and reserves
    /// room for their results. A set is split only if it is the first of the call
    /// and does not fit as a whole.
    pub(super) fn fill_call(
        &mut self,
        target: &TargetId,
        order: &[SetNumber],
        now: ClockTime,
    ) -> Vec<CallPiece> {
        let mut pieces = Vec::new();
        let Some(state) = self.targets.get(target) else {
            return pieces;
        };
        let zone = state.zone.clone();
        let mut room = self.room_left(state);
        let is_remote = |number: &SetNumber| {
            let set = &self.sets[number].set;
            set.preferred_zone
                .as_ref()
                .is_some_and(|preferred| *preferred != zone)
        };
        let mut order = order.to_vec();
        // The target was chosen for the first set, which therefore stays first.
        if let Some(rest) = order.get_mut(1..) {
            rest.sort_by_key(|number| (self.sets[number].is_late, is_remote(number)));
        }
        for number in &order {
            let free_pieces = self.service.batch - pieces.len();
            let Some(set) = self.sets.get(number) else {
                continue;
            };
            let fitting = room.checked_div(set.set.piece_bytes).unwrap_or(u64::MAX);
            let fitting = usize::try_from(fitting)
                .unwrap_or(usize::MAX)
                .min(free_pieces);
            let is_whole = set.waiting.len() <= fitting;
            if !(is_whole || pieces.is_empty()) || !self.may_run_in(set, &zone, now) {
                continue;
            }
            let taken = set.waiting.len().min(fitting);
            let Some(set) = self.sets.get_mut(number) else {
                continue;
            };
            for piece in set.waiting.drain(..taken) {
                room = room.saturating_sub(set.set.piece_bytes);
                pieces.push(CallPiece {
                    set: *number,
                    piece,
                    bytes: set.set.piece_bytes,
                    time_left: now.until(set.set.deadline),
                });
            }
            if pieces.len() == self.service.batch {
                break;
            }
        }
        let reserved: u64 = pieces.iter().map(|piece| piece.bytes).sum();
        if let Some(state) = self.targets.get_mut(target) {
            state.used_room += reserved;
        }
        pieces
    }

    /// Waiting sets in the order in which they are assigned to calls, without
    /// late sets that are held back because of a backlog downstream.
    pub(super) fn order(&self, now: ClockTime) -> Vec<SetNumber> {
        let mut order: Vec<_> = self
            .sets
            .iter()
            .filter(|(_, set)| !set.waiting.is_empty())
            .filter_map(|(number, set)| {
                let is_late = set.is_late || self.cannot_meet_goal(&set.set, now);
                // Partly processed sets are finished first: an incomplete set
                // is of no use.
                let is_whole = set.waiting.len() == set.results.len();
                if is_late && is_whole && set.set.refusable && self.has_backlog_downstream(&set.set)
                {
                    return None;
                }
                let due = if is_late {
                    set.set.deadline
                } else {
                    set.set.goal_at
                };
                let due = adjusted_due(&set.set, due);
                // Late sets of started requests go before those of new ones, as
                // they occupy room with earlier results.
                let is_new = is_late && set.set.refusable;
                Some(((is_late, is_whole, is_new, due), *number))
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, number)| number).collect()
    }

    pub(super) fn has_backlog_downstream(&self, set: &StageSet) -> bool {
        let mut downstream = set.downstream.iter();
        downstream.any(|service| self.backlogged.contains(service))
    }

    /// Number of waiting pieces that would be processed before a new set.
    pub(super) fn pieces_ahead(&self, set: &StageSet, now: ClockTime) -> usize {
        let is_late = self.cannot_meet_goal(set, now);
        let comes_before = |other: &&QueuedSet| match (other.is_late, is_late) {
            (false, true) => true,
            (true, false) => false,
            (false, false) => other.set.goal_at <= set.goal_at,
            (true, true) => other.set.deadline <= set.deadline,
        };
        let ahead = self.sets.values().filter(comes_before);
        ahead.map(|set| set.waiting.len()).sum()
    }

    /// Expected time until the available targets have completed `pieces` pieces.
    pub(super) fn drain_time(&self, pieces: usize, now: ClockTime) -> TimeSpan {
        let last = pieces.clamp(1, self.service.batch);
        self.wait_time(pieces.saturating_sub(last), now)
            + numbers::span(self.service.call_time(last) * self.recent.slowdown())
    }

    /// Expected time until a call can start that follows `pieces` pieces.
    pub(super) fn wait_time(&self, pieces: usize, now: ClockTime) -> TimeSpan {
        let slots = self.available_slots(now);
        if slots <= 0.0 {
            return MAX_PAUSE;
        }
        let full_ms = self.service.call_time(self.service.batch);
        let running = numbers::count(self.calls.len());
        // Running calls are evenly spread: the next one ends after this share
        // of a full call.
        let until_free = if running < slots {
            0.0
        } else {
            full_ms / slots
        };
        let calls = numbers::count(pieces / self.service.batch.max(1));
        numbers::span(until_free + full_ms * calls / slots)
    }

    /// Number of calls that the available targets can run at the same time. A
    /// slow target counts for less, in proportion to its slowdown, and one with a
    /// limit as far as the limit allows calls.
    pub(super) fn available_slots(&self, now: ClockTime) -> f64 {
        let call_ms = self.service.call_time(self.service.batch);
        let available = self
            .targets
            .values()
            .filter(|target| target.listed && target.paused_until <= now);
        available.map(|target| target.usable_slots(call_ms)).sum()
    }
}

/// Due time of a set adjusted for its priority: later for lower priorities.
pub(super) fn adjusted_due(set: &StageSet, due: ClockTime) -> ClockTime {
    due + PRIORITY_STEP * u64::from(set.priority.min(LOWEST_DISTINCT_PRIORITY))
}
