//! Which sets go next, to which target, and how long the others wait.

use super::{
    CallPiece, SetNumber, StageQueue, StageSet, queue_target::QueueTarget, queued_set::QueuedSet,
    stage_queue::LONGEST_PAUSE,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{TargetId, ZoneName},
    policy::numbers,
};

/// Targets of a zone of which one is free again within half a call, though other
/// sets wait for them as well.
const SPARE_TARGETS: f64 = 4.0;
/// Part of a full call's time for which a set waits at least for a target in
/// the zone of its results, if there is one.
const LEAST_PATIENCE: f64 = 0.5;
/// By how much a set of the next lower rank counts as less urgent. A third of
/// a call: ranks decide between sets that are due at about the same time.
const PRIORITY_STEP: TimeSpan = TimeSpan::from_millis(100);
/// Lowest rank that is told from those below.
pub(super) const LOWEST_RANK: u8 = 4;

impl StageQueue {
    pub(super) fn room_left(&self, target: &QueueTarget) -> u64 {
        self.service.room.as_bytes().saturating_sub(target.taken)
    }

    /// Whether a set may go to a zone: its own, or any if it has waited for
    /// long.
    pub(super) fn may_go(&self, set: &QueuedSet, zone: &ZoneName, now: ClockTime) -> bool {
        let Some(home) = set.set.preferred_zone.as_ref().filter(|home| *home != zone) else {
            return true;
        };
        now.since(set.arrived_at) >= self.home_patience(home)
    }

    /// How long a set waits for a target in its zone: until one of those that
    /// are there is probably free again, a full call at most.
    fn home_patience(&self, home: &ZoneName) -> TimeSpan {
        let Some(targets) = self.zone_targets.get(home) else {
            return TimeSpan::ZERO;
        };
        let call_ms = self.service.call_time(self.service.batch);
        let share = LEAST_PATIENCE * SPARE_TARGETS / numbers::count(*targets).max(1.0);
        numbers::span(call_ms * share.clamp(LEAST_PATIENCE, 1.0))
    }

    /// The free target that a set should go to: in its zone if there is one,
    /// then the quickest. A slow one gets a call only if more waits than one
    /// call of the others can carry.
    pub(super) fn pick_target(&self, number: SetNumber, now: ClockTime) -> Option<TargetId> {
        let set = self.sets.get(&number)?;
        let waiting = self.waiting_pieces();
        let any_quick = self
            .targets
            .values()
            .any(|target| target.listed && !target.is_slow() && target.paused_until <= now);
        let free = self.targets.iter().filter(|(_, target)| {
            let worth_it = !target.is_slow() || !any_quick || waiting > self.service.batch;
            let has_room = self.room_left(target) >= set.set.piece_bytes;
            target.is_free(now) && worth_it && has_room && self.may_go(set, &target.zone, now)
        });
        let is_away = |target: &QueueTarget| {
            let home = set.set.preferred_zone.as_ref();
            home.is_some_and(|home| *home != target.zone)
        };
        let best = free.min_by(|left, right| {
            let by_zone = is_away(left.1).cmp(&is_away(right.1));
            by_zone.then(left.1.pace.total_cmp(&right.1.pace))
        })?;
        Some(best.0.clone())
    }

    /// Takes the pieces of a call to `target` from the sets that wait. A set
    /// is split only if it doesn't fit a call of its own.
    pub(super) fn fill(
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
        let is_away = |number: &SetNumber| {
            let set = &self.sets[number].set;
            set.preferred_zone
                .as_ref()
                .is_some_and(|home| *home != zone)
        };
        let mut order = order.to_vec();
        // The first one is why the target was chosen.
        if let Some(rest) = order.get_mut(1..) {
            rest.sort_by_key(|number| (self.sets[number].is_late, is_away(number)));
        }
        for number in &order {
            let free = self.service.batch - pieces.len();
            let Some(set) = self.sets.get(number) else {
                continue;
            };
            let fitting = room.checked_div(set.set.piece_bytes).unwrap_or(u64::MAX);
            let fitting = usize::try_from(fitting).unwrap_or(usize::MAX).min(free);
            let is_whole = set.waiting.len() <= fitting;
            if !(is_whole || pieces.is_empty()) || !self.may_go(set, &zone, now) {
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
            state.taken += reserved;
        }
        pieces
    }

    /// Sets in the order in which they get places in calls. Sets that are held
    /// back are left out.
    pub(super) fn order(&self, now: ClockTime) -> Vec<SetNumber> {
        let mut order: Vec<_> = self
            .sets
            .iter()
            .filter(|(_, set)| !set.waiting.is_empty())
            .filter_map(|(number, set)| {
                let is_late = set.is_late || self.is_hopeless(&set.set, now);
                // Sets that were begun are finished first: half a set is of
                // no use to anyone.
                let is_whole = set.waiting.len() == set.results.len();
                if is_late && is_whole && set.set.refusable && self.is_clogged(&set.set) {
                    return None;
                }
                let due = if is_late {
                    set.set.deadline
                } else {
                    set.set.goal_at
                };
                let due = urgency(&set.set, due);
                // Late sets of requests that have begun hold results.
                let is_new = is_late && set.set.refusable;
                Some(((is_late, is_whole, is_new, due), *number))
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, number)| number).collect()
    }

    pub(super) fn is_clogged(&self, set: &StageSet) -> bool {
        let mut followers = set.downstream.iter();
        followers.any(|service| self.clogged.contains(service))
    }

    /// Pieces that wait and come before a new set.
    pub(super) fn pieces_ahead(&self, set: &StageSet, now: ClockTime) -> usize {
        let is_late = self.is_hopeless(set, now);
        let comes_before = |other: &&QueuedSet| match (other.is_late, is_late) {
            (false, true) => true,
            (true, false) => false,
            (false, false) => other.set.goal_at <= set.goal_at,
            (true, true) => other.set.deadline <= set.deadline,
        };
        let ahead = self.sets.values().filter(comes_before);
        ahead.map(|set| set.waiting.len()).sum()
    }

    /// Expected time until `pieces` pieces are done by the targets that work.
    pub(super) fn drain_time(&self, pieces: usize, now: ClockTime) -> TimeSpan {
        let last = pieces.clamp(1, self.service.batch);
        self.wait_time(pieces.saturating_sub(last), now)
            + numbers::span(self.service.call_time(last) * self.recent.pace())
    }

    /// Expected time until a call starts that comes after `pieces` pieces.
    pub(super) fn wait_time(&self, pieces: usize, now: ClockTime) -> TimeSpan {
        let places = self.open_places(now);
        if places <= 0.0 {
            return LONGEST_PAUSE;
        }
        let full_ms = self.service.call_time(self.service.batch);
        let running = numbers::count(self.calls.len());
        // The next of the calls under way ends after its share of their time.
        let until_free = if running < places {
            0.0
        } else {
            full_ms / places
        };
        let calls = numbers::count(pieces / self.service.batch.max(1));
        numbers::span(until_free + full_ms * calls / places)
    }

    /// Calls that the targets can work on at the same time, counted by pace.
    pub(super) fn open_places(&self, now: ClockTime) -> f64 {
        let open = self
            .targets
            .values()
            .filter(|target| target.listed && target.paused_until <= now);
        open.map(|target| f64::from(target.slots) / target.pace.max(1.0))
            .sum()
    }
}

/// When a set is due, later for lower ranks.
pub(super) fn urgency(set: &StageSet, due: ClockTime) -> ClockTime {
    due + PRIORITY_STEP * u64::from(set.priority.min(LOWEST_RANK))
}
