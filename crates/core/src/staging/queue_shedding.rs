//! Load shedding: which sets are made late, and which late sets are dropped.
//!
//! Designed for this load: for some seconds more requests arrive than the
//! targets can serve. Served only in the order of their goals, all of them would
//! be slightly late, and the late ones would then delay new requests beyond
//! their goals as well.

use std::cmp::Ordering;

use super::{
    SetFailure, SetNumber, StageQueue, StageSet,
    goal_shares::{GoalKeys, GoalShares},
    queue_order::{LOWEST_DISTINCT_PRIORITY, adjusted_due},
    queued_set::QueuedSet,
    stage_queue::count,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
};

/// Cost of a piece at the highest priority when sets are chosen to become late.
/// Each lower priority adds one, so that in a burst lower priorities are late
/// slightly more often.
const BASE_PIECE_COST: usize = 4;
/// Power of the share of goals that a set's route or workspace has recently kept, by
/// which the cost of the set is multiplied. At the fifth power two routes with sets
/// of equal size, two priorities apart, keep shares in the ratio of 0.92 at one
/// stage: the fifth root of 4/6. Requests pass three stages.
const KEPT_SHARE_POWER: i32 = 5;
/// Share of the targets' capacity that late requests are expected to get even if
/// they have recently got less: bursts are shorter than the deadlines.
const ASSUMED_LATE_SHARE: f64 = 0.1;

/// Longest retry time given to a late request that is shed. While no late
/// request is served there is no throughput to estimate a time from, and bursts
/// last seconds.
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(3);

/// A waiting set that keeps its goal so far.
struct KeptSet {
    number: SetNumber,
    refusable: bool,
    pieces: usize,
    cost: f64,
    arrived_at: ClockTime,
    goal: Option<GoalKeys>,
}

impl KeptSet {
    fn new(number: SetNumber, set: &QueuedSet) -> Self {
        let priority = usize::from(set.set.priority.min(LOWEST_DISTINCT_PRIORITY));
        Self {
            number,
            refusable: set.set.refusable,
            pieces: set.waiting.len(),
            cost: numbers::count(set.waiting.len() * (BASE_PIECE_COST + priority)),
            arrived_at: set.arrived_at,
            goal: set.open_goal,
        }
    }

    /// Compares two sets. The greater one misses its goal first.
    fn compare(&self, other: &Self, goals: &GoalShares) -> Ordering {
        let by_refusal = self.refusable.cmp(&other.refusable);
        let by_cost = || {
            let cost = self.weighted_cost(goals);
            cost.total_cmp(&other.weighted_cost(goals))
        };
        let by_arrival = || self.arrived_at.cmp(&other.arrived_at);
        by_refusal.then_with(by_cost).then_with(by_arrival)
    }

    fn weighted_cost(&self, goals: &GoalShares) -> f64 {
        let kept = self.goal.map_or(1.0, |keys| goals.kept_share(keys));
        self.cost * kept.powi(KEPT_SHARE_POWER)
    }
}

impl StageQueue {
    /// Earliest time at which a set can finish: after a call of its own that
    /// starts now.
    pub(super) fn earliest_end(&self, set: &StageSet, now: ClockTime) -> ClockTime {
        let pieces = count(set.pieces).min(self.service.batch);
        now + numbers::span(self.service.call_time(pieces))
    }

    /// Whether a set can no longer meet its goal, even if it were next.
    pub(super) fn cannot_meet_goal(&self, set: &StageSet, now: ClockTime) -> bool {
        set.goal_at < self.earliest_end(set, now)
    }

    /// Makes a set late and records that it has missed its goal.
    fn make_late(&mut self, number: SetNumber) {
        if let Some(set) = self.sets.get_mut(&number) {
            set.is_late = true;
        }
        self.miss_goal(number);
    }

    /// Records that a set has missed its goal, unless that is recorded.
    pub(super) fn miss_goal(&mut self, number: SetNumber) {
        let set = self.sets.get_mut(&number);
        if let Some(keys) = set.and_then(|set| set.open_goal.take()) {
            self.goals.miss(keys);
        }
    }

    /// Marks sets as late: those that can no longer meet their goals, and as few
    /// others as it takes for the rest to be on time. Served only in the order of
    /// their goals, all sets of an overload would be slightly late. Large sets, and
    /// those of routes and workspaces that have recently missed fewer goals, become
    /// late first.
    pub(super) fn mark_late_sets(&mut self, now: ClockTime) {
        self.goals.decay(now);
        let missed: Vec<SetNumber> = self
            .sets
            .iter()
            .filter(|(_, set)| !set.waiting.is_empty() && self.cannot_meet_goal(&set.set, now))
            .map(|(number, _)| *number)
            .collect();
        for number in missed {
            self.make_late(number);
        }
        let mut due: Vec<(ClockTime, SetNumber)> = Vec::new();
        for (number, set) in &self.sets {
            if !set.is_late && !set.waiting.is_empty() {
                due.push((adjusted_due(&set.set, set.set.goal_at), *number));
            }
        }
        due.sort_unstable();
        let mut kept: Vec<KeptSet> = Vec::new();
        let mut pieces = 0;
        for (_, number) in due {
            let set = &self.sets[&number];
            let goal_at = set.set.goal_at;
            pieces += set.waiting.len();
            kept.push(KeptSet::new(number, set));
            if now + self.drain_time(pieces, now) <= goal_at {
                continue;
            }
            let first_to_give_up = kept
                .iter()
                .enumerate()
                .max_by(|(_, set), (_, other)| set.compare(other, &self.goals));
            let Some((position, _)) = first_to_give_up else {
                continue;
            };
            let given_up = kept.remove(position);
            pieces -= given_up.pieces;
            self.make_late(given_up.number);
        }
    }

    /// Late sets with all pieces still waiting that would miss their deadlines at
    /// the rate at which late requests are served.
    pub(super) fn excess_late_sets(&mut self, now: ClockTime) -> Vec<(SetNumber, SetFailure)> {
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
        self.late_throughput.record_waiting(!late.is_empty(), now);
        let batch = self.service.batch;
        let call_ms = self.service.call_time(batch);
        let capacity = numbers::count(batch) / call_ms * self.available_slots(now).max(1.0);
        let assumed = capacity * ASSUMED_LATE_SHARE * self.late_throughput.expected_fraction(now);
        let rate = self
            .late_throughput
            .pieces_per_ms(now)
            .max(assumed)
            .max(f64::MIN_POSITIVE);
        let mut pieces = 0;
        let mut excess = Vec::new();
        for ((_, dead_at), number, waiting) in late {
            let wait = numbers::span(numbers::count(pieces) / rate + call_ms);
            let end = now + wait;
            if end > dead_at {
                let retry_after = wait.min(MAX_RETRY_AFTER);
                excess.push((number, SetFailure::Crowded { retry_after }));
            } else {
                pieces += waiting;
            }
        }
        excess
    }
}
