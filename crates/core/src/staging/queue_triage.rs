//! Which sets keep their goals, and which late ones are worth keeping.
//!
//! Answers to this load pattern: for some seconds more requests come than the
//! targets can serve. In the order of their goals alone all of them would be a
//! little late, and what is late afterwards would keep new requests from being
//! on time.

use super::{
    SetFailure, SetNumber, StageQueue, StageSet,
    queue_order::{LOWEST_RANK, urgency},
    stage_queue::count,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
};

/// Parts that the cost of a piece consists of at the highest rank. Each lower
/// rank adds one: in a burst lower ranks are late a little more often.
const RANK_BASE: usize = 4;
/// Part of the targets' time that late requests are counted on to get, when
/// they have got less of late. Bursts are shorter than the deadlines.
const LATE_SHARE: f64 = 0.1;

/// Longest time after which a late request is expected to find a place. While
/// none gets any there is no pace to tell a time by, and bursts last seconds.
const LONGEST_RETURN: TimeSpan = TimeSpan::from_secs(3);

impl StageQueue {
    /// When the pieces of a set are done at the earliest: in a call of their
    /// own that starts now.
    pub(super) fn least_end(&self, set: &StageSet, now: ClockTime) -> ClockTime {
        let pieces = count(set.pieces).min(self.service.batch);
        now + numbers::span(self.service.call_time(pieces))
    }

    /// Whether a set can't meet its goal any more, whatever else waits.
    pub(super) fn is_hopeless(&self, set: &StageSet, now: ClockTime) -> bool {
        set.goal_at < self.least_end(set, now)
    }

    /// Gives up the goals of sets that would be late, as few as it takes for
    /// the others to be on time. Served in the order of their goals alone, all
    /// sets of an overload would be a little late.
    pub(super) fn give_up_goals(&mut self, now: ClockTime) {
        let hopeless: Vec<SetNumber> = self
            .sets
            .iter()
            .filter(|(_, set)| !set.waiting.is_empty() && self.is_hopeless(&set.set, now))
            .map(|(number, _)| *number)
            .collect();
        for number in hopeless {
            if let Some(set) = self.sets.get_mut(&number) {
                set.is_late = true;
            }
        }
        let mut due: Vec<(ClockTime, SetNumber)> = Vec::new();
        for (number, set) in &self.sets {
            if !set.is_late && !set.waiting.is_empty() {
                due.push((urgency(&set.set, set.set.goal_at), *number));
            }
        }
        due.sort_unstable();
        let mut kept: Vec<SetNumber> = Vec::new();
        let mut pieces = 0;
        for (_, number) in due {
            kept.push(number);
            pieces += self.sets[&number].waiting.len();
            if now + self.drain_time(pieces, now) <= self.sets[&number].set.goal_at {
                continue;
            }
            let costliest = kept.iter().enumerate().max_by_key(|(_, number)| {
                let set = &self.sets[number];
                let rank = usize::from(set.set.priority.min(LOWEST_RANK));
                (
                    set.set.refusable,
                    set.waiting.len() * (RANK_BASE + rank),
                    set.arrived_at,
                )
            });
            let Some((place, _)) = costliest else {
                continue;
            };
            let given_up = kept.remove(place);
            if let Some(set) = self.sets.get_mut(&given_up) {
                pieces -= set.waiting.len();
                set.is_late = true;
            }
        }
    }

    /// Sets of late requests that won't be done in their time, at the pace at
    /// which late requests are served.
    pub(super) fn crowded(&mut self, now: ClockTime) -> Vec<(SetNumber, SetFailure)> {
        let mut late: Vec<_> = self
            .sets
            .iter()
            .filter(|(_, set)| set.is_late && set.waiting.len() == set.results.len())
            .map(|(number, set)| {
                let due = (set.set.refusable, set.set.deadline);
                (due, *number, set.waiting.len())
            })
            .collect();
        late.sort_unstable();
        self.late_pace.note_waiting(!late.is_empty(), now);
        let batch = self.service.batch;
        let call_ms = self.service.call_time(batch);
        let usual = numbers::count(batch) / call_ms * self.open_places(now).max(1.0);
        let expected = usual * LATE_SHARE * self.late_pace.trust(now);
        let pace = self
            .late_pace
            .per_ms(now)
            .max(expected)
            .max(f64::MIN_POSITIVE);
        let mut pieces = 0;
        let mut crowded = Vec::new();
        for ((_, dead_at), number, waiting) in late {
            let wait = numbers::span(numbers::count(pieces) / pace + call_ms);
            let end = now + wait;
            if end > dead_at {
                let retry_after = wait.min(LONGEST_RETURN);
                crowded.push((number, SetFailure::Crowded { retry_after }));
            } else {
                pieces += waiting;
            }
        }
        crowded
    }
}
