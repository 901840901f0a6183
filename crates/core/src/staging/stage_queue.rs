use std::collections::{BTreeMap, BTreeSet};

use super::{
    CallNumber, QueueBacklog, SetEnd, SetFailure, SetNumber, StageCall, StageRefusal, StageSet,
    TargetPace, goal_shares::GoalShares, held_results::HeldResults,
    late_throughput::LateThroughput, queue_target::QueueTarget, queued_set::QueuedSet,
    recent_times::RecentTimes, running_call::RunningCall,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{PoolName, TargetId, ZoneName},
    policy::numbers,
    routes::StageService,
    units::ByteSize,
};

/// Multiple of its expected time after which a call is abandoned.
const TIMEOUT_FACTOR: f64 = 3.0;
/// Time added to a call's timeout for the network and for waiting at the target.
const TIMEOUT_SLACK_MS: f64 = 250.0;
/// Longest pause of a target; also the expected wait while none is available.
pub(super) const MAX_PAUSE: TimeSpan = TimeSpan::from_secs(4);
/// Longest time until the next planning attempt while pieces wait although a
/// target is free.
const REPLAN_INTERVAL: TimeSpan = TimeSpan::from_millis(20);

/// Batches the pieces of waiting requests into calls to a stage's targets.
///
/// Designed for this load: a call costs a fixed time and a little for each
/// piece, targets run one call at a time, and a burst brings more pieces than
/// calls with one request each could carry. Pieces wait here, not at the
/// targets. Calls start evenly spread over the duration of a call, so that each
/// one collects the pieces that arrived in between. Sets that can still meet
/// their goal go first, the most urgent before the others; late sets follow.
/// When not all can be on time, as few as possible are made late. A set that
/// cannot finish before its deadline is refused on arrival. Late sets are shed
/// as soon as more of them wait than will be served.
///
/// A late request that has not started waits until the stages after this one
/// have no backlog. If it started earlier, its results would occupy room that
/// on-time requests need, while it would still wait behind them.
///
/// A target keeps results in limited room until they are freed. A call is made
/// only where its results fit. The pieces of one set stay together if they fit
/// one call, and go to the zone in which their results will be read unless they
/// have waited too long.
#[derive(Clone, Debug)]
pub struct StageQueue {
    pub(super) service: StageService,
    pub(super) targets: BTreeMap<TargetId, QueueTarget>,
    /// Number of targets that the queue may call in each zone.
    pub(super) zone_targets: BTreeMap<ZoneName, usize>,
    pub(super) sets: BTreeMap<SetNumber, QueuedSet>,
    pub(super) calls: BTreeMap<CallNumber, RunningCall>,
    pub(super) held: HeldResults,
    /// Downstream services that have a backlog.
    pub(super) backlogged: BTreeSet<PoolName>,
    pub(super) next_set: u64,
    pub(super) next_call: u64,
    /// Earliest start of the next call that is not full.
    pub(super) next_call_at: ClockTime,
    pub(super) late_throughput: LateThroughput,
    pub(super) recent: RecentTimes,
    pub(super) goals: GoalShares,
}

impl StageQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(service: StageService) -> Self {
        Self {
            service,
            targets: BTreeMap::new(),
            zone_targets: BTreeMap::new(),
            sets: BTreeMap::new(),
            calls: BTreeMap::new(),
            held: HeldResults::default(),
            backlogged: BTreeSet::new(),
            next_set: 0,
            next_call: 0,
            next_call_at: ClockTime::ZERO,
            late_throughput: LateThroughput::default(),
            recent: RecentTimes::default(),
            goals: GoalShares::default(),
        }
    }

    /// Replaces the description of the service.
    pub const fn set_service(&mut self, service: StageService) {
        self.service = service;
    }

    /// Replaces the targets that the queue may call, each with its zone and its
    /// number of slots. Running calls to removed targets continue.
    pub fn set_targets<Targets>(&mut self, targets: Targets)
    where
        Targets: IntoIterator<Item = (TargetId, ZoneName, u32)>,
    {
        for target in self.targets.values_mut() {
            target.listed = false;
        }
        self.zone_targets.clear();
        for (id, zone, slots) in targets {
            *self.zone_targets.entry(zone.clone()).or_default() += 1;
            let target = self
                .targets
                .entry(id)
                .or_insert_with(|| QueueTarget::new(zone, slots));
            target.slots = slots.max(1);
            target.listed = true;
        }
        self.targets
            .retain(|_, target| target.listed || target.running > 0);
    }

    /// Replaces the paces of the targets that have named limits. All others may be
    /// called at any time.
    pub fn set_paces(&mut self, paces: &BTreeMap<TargetId, TargetPace>) {
        for (id, target) in &mut self.targets {
            target.pace = paces.get(id).copied();
        }
    }

    /// Whether the queue may send new calls to a target.
    #[must_use]
    pub fn may_call(&self, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(|target| target.listed)
    }

    /// Replaces the set of services that have a backlog.
    pub fn set_backlogged(&mut self, backlogged: BTreeSet<PoolName>) {
        self.backlogged = backlogged;
    }

    /// Services of the stages that follow this one for any set in the queue.
    #[must_use]
    pub fn downstream_services(&self) -> BTreeSet<PoolName> {
        let sets = self.sets.values();
        sets.flat_map(|set| set.set.downstream.iter().cloned())
            .collect()
    }

    /// Adds a set of pieces to the queue.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the set may be refused and is not expected to finish
    /// before its deadline.
    pub fn offer(&mut self, set: StageSet, now: ClockTime) -> Result<SetNumber, StageRefusal> {
        let ahead = self.pieces_ahead(&set, now);
        let done_at = now + self.drain_time(ahead + count(set.pieces), now);
        let is_late = self.cannot_meet_goal(&set, now);
        // A goal that is missed on arrival is not one that this queue missed.
        let open_goal = (!is_late).then(|| self.goals.open(&set));
        if set.refusable && done_at > set.deadline {
            if let Some(keys) = open_goal {
                self.goals.miss(keys);
            }
            let retry_after = now.until(done_at);
            return Err(StageRefusal { retry_after });
        }
        let number = SetNumber(self.next_set);
        self.next_set += 1;
        self.sets.insert(
            number,
            QueuedSet {
                arrived_at: now,
                waiting: (0..set.pieces).collect(),
                results: vec![None; count(set.pieces)],
                missing: set.pieces,
                set,
                retries: 0,
                is_late,
                open_goal,
            },
        );
        Ok(number)
    }

    /// Removes a set. Returns the names of the results already produced for it.
    pub fn cancel(&mut self, number: SetNumber) -> Vec<String> {
        let set = self.sets.remove(&number);
        if let Some(keys) = set.as_ref().and_then(|set| set.open_goal) {
            self.goals.forget(keys);
        }
        set.map(|set| set.results.into_iter().flatten().collect())
            .unwrap_or_default()
    }

    /// Backlog of the queue. The expected wait of a new set covers the pieces
    /// ahead of it and is at least the recent average wait, whatever caused it.
    #[must_use]
    pub fn backlog(&self, now: ClockTime) -> QueueBacklog {
        let (mut on_time, mut total) = (0, 0);
        for number in self.order(now) {
            let set = &self.sets[&number];
            total += set.waiting.len();
            if !set.is_late {
                on_time += set.waiting.len();
            }
        }
        QueueBacklog {
            on_time: self.wait_time(on_time, now).max(self.recent.wait()),
            total: self.wait_time(total, now).max(self.recent.wait()),
            call: self.recent.call(),
        }
    }

    /// Number of pieces that wait for a call.
    #[must_use]
    pub fn waiting_pieces(&self) -> usize {
        self.sets.values().map(|set| set.waiting.len()).sum()
    }

    /// Zone of a target, if the queue knows the target.
    #[must_use]
    pub fn zone_of(&self, target: &TargetId) -> Option<&ZoneName> {
        self.targets.get(target).map(|target| &target.zone)
    }

    /// Removes the waiting sets that cannot finish before their deadlines, and
    /// the late sets in excess of what will be served.
    pub fn shed(&mut self, now: ClockTime) -> Vec<SetEnd> {
        let mut late: Vec<(SetNumber, SetFailure)> = Vec::new();
        for (number, set) in &self.sets {
            if !set.waiting.is_empty() && set.set.deadline < self.earliest_end(&set.set, now) {
                late.push((*number, SetFailure::Late));
            }
        }
        late.extend(self.excess_late_sets(now));
        late.into_iter()
            .map(|(number, failure)| self.fail(number, failure))
            .collect()
    }

    /// Releases the room of results that their targets no longer hold.
    pub fn free(&mut self, names: &[String]) {
        for name in names {
            if let Some(result) = self.held.remove(name) {
                self.release_room(&result.target, result.bytes);
            }
        }
    }

    /// Plans the next call, if one can start now. Callers repeat this until it
    /// returns `None`.
    #[must_use]
    pub fn plan(&mut self, now: ClockTime) -> Option<StageCall> {
        for result in self.held.take_expired(now) {
            self.release_room(&result.target, result.bytes);
        }
        self.mark_late_sets(now);
        let order = self.order(now);
        let waiting: usize = order
            .iter()
            .map(|number| self.sets[number].waiting.len())
            .sum();
        if waiting == 0 || (waiting < self.service.batch && now < self.next_call_at) {
            return None;
        }
        let target = order
            .iter()
            .find_map(|number| self.pick_target(*number, now))?;
        let pieces = self.fill_call(&target, &order, now);
        let late = pieces.iter().filter(|piece| self.sets[&piece.set].is_late);
        self.late_throughput.record_call(late.count(), now);
        let mut called_sets: Vec<SetNumber> = pieces.iter().map(|piece| piece.set).collect();
        called_sets.dedup();
        for set in called_sets.iter().map(|number| &self.sets[number]) {
            if !set.is_late {
                self.recent.record_wait(now.since(set.arrived_at));
            }
        }
        let expected_ms = self.service.call_time(pieces.len());
        let number = CallNumber(self.next_call);
        self.next_call += 1;
        let slots = self.available_slots(now).max(1.0);
        self.next_call_at = now + numbers::span(expected_ms / slots);
        let target_state = self.targets.get_mut(&target)?;
        target_state.running += 1;
        let slowdown = target_state.slowdown.max(1.0);
        let room_left = self
            .service
            .room
            .as_bytes()
            .saturating_sub(target_state.used_room);
        self.calls.insert(
            number,
            RunningCall {
                target: target.clone(),
                pieces: pieces.clone(),
                started_at: now,
                expected_ms,
            },
        );
        Some(StageCall {
            number,
            target,
            room_left: ByteSize::from_bytes(room_left),
            waiting: waiting.saturating_sub(pieces.len()),
            pieces,
            timeout: numbers::span(
                expected_ms * slowdown.min(2.0) * TIMEOUT_FACTOR + TIMEOUT_SLACK_MS,
            ),
        })
    }

    /// When to call [`Self::plan`] again if no other event occurs before.
    #[must_use]
    pub fn next_wakeup(&self, now: ClockTime) -> Option<ClockTime> {
        if self.waiting_pieces() == 0 {
            return None;
        }
        let has_free = self.targets.values().any(|target| target.is_free(now));
        if has_free {
            let soon = now + REPLAN_INTERVAL;
            return Some(if self.next_call_at > now {
                self.next_call_at.min(soon)
            } else {
                soon
            });
        }
        let paused = self.targets.values().filter(|target| {
            target.listed && target.running < target.slots && target.open_at() > now
        });
        let next_resume = paused.map(QueueTarget::open_at).min();
        let next_deadline = self.sets.values().map(|set| set.set.deadline).min();
        let times = next_resume.into_iter().chain(next_deadline);
        times.chain(self.held.next_expiry()).min()
    }
}

pub(super) fn count(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
