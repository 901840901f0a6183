use std::collections::{BTreeMap, BTreeSet};

use super::{
    CallNumber, QueueBacklog, SetEnd, SetFailure, SetNumber, StageCall, StageRefusal, StageSet,
    held_results::HeldResults, late_pace::LatePace, queue_target::QueueTarget,
    queued_set::QueuedSet, recent_times::RecentTimes, running_call::RunningCall,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{PoolName, TargetId, ZoneName},
    policy::numbers,
    routes::StageService,
    units::ByteSize,
};

/// Multiple of a call's expected time after which it is given up.
const TIMEOUT_FACTOR: f64 = 3.0;
/// Time added to it for the network and a call that waits at the target.
const TIMEOUT_SLACK_MS: f64 = 250.0;
/// Longest pause of a target.
pub(super) const LONGEST_PAUSE: TimeSpan = TimeSpan::from_secs(4);
/// Longest wait between two looks at a queue in which something waits though a
/// target is free.
const LOOK_SPAN: TimeSpan = TimeSpan::from_millis(20);

/// Shares the calls of a stage's targets between the requests that wait.
///
/// Answers to this load pattern: a call costs a fixed time and a little for
/// each piece, targets do one call at a time, and in a burst more pieces
/// arrive than calls of one request each could carry. Pieces wait here, not at
/// the targets. Calls start one after the other, evenly spread over the time
/// that a call takes, so that each one collects what has come meanwhile. Sets
/// that can still meet their goal go first, the most urgent before the others;
/// then those that can only be late. When not all can be on time, as few as
/// possible give up their goals. A set that can't be done before its deadline
/// is turned away as it arrives; a late one, as soon as more of them wait than
/// will be served.
///
/// A late request that has not begun waits here until the stages after this one
/// have no backlog. Started earlier, its results would take the room of those
/// that can be on time, while it waits behind them all the same.
///
/// Results take room at their makers until they are freed. A call is made only
/// where its results find room. The pieces of one set stay together as long as
/// they fit a call, and go to the zone in which their results will be read
/// unless they have waited for long.
#[derive(Clone, Debug)]
pub struct StageQueue {
    pub(super) service: StageService,
    pub(super) targets: BTreeMap<TargetId, QueueTarget>,
    /// Targets that the queue may call, by zone.
    pub(super) zone_targets: BTreeMap<ZoneName, usize>,
    pub(super) sets: BTreeMap<SetNumber, QueuedSet>,
    pub(super) calls: BTreeMap<CallNumber, RunningCall>,
    pub(super) held: HeldResults,
    /// Services with a backlog.
    pub(super) clogged: BTreeSet<PoolName>,
    pub(super) next_set: u64,
    pub(super) next_call: u64,
    /// Earliest start of the next call that isn't full.
    pub(super) next_start: ClockTime,
    pub(super) late_pace: LatePace,
    pub(super) recent: RecentTimes,
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
            clogged: BTreeSet::new(),
            next_set: 0,
            next_call: 0,
            next_start: ClockTime::ZERO,
            late_pace: LatePace::default(),
            recent: RecentTimes::default(),
        }
    }

    /// Takes in a changed description of the service.
    pub const fn set_service(&mut self, service: StageService) {
        self.service = service;
    }

    /// Takes in the targets that the queue may call. Calls under way at others
    /// go on.
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

    /// Whether the queue may call a target.
    #[must_use]
    pub fn may_call(&self, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(|target| target.listed)
    }

    /// Takes in which services have a backlog.
    pub fn set_backlogged(&mut self, clogged: BTreeSet<PoolName>) {
        self.clogged = clogged;
    }

    /// Services that come after sets of this queue.
    #[must_use]
    pub fn downstream_services(&self) -> BTreeSet<PoolName> {
        let sets = self.sets.values();
        sets.flat_map(|set| set.set.downstream.iter().cloned())
            .collect()
    }

    /// Takes in a set of pieces.
    ///
    /// # Errors
    ///
    /// Refuses a set that would not be done before its deadline.
    pub fn offer(&mut self, set: StageSet, now: ClockTime) -> Result<SetNumber, StageRefusal> {
        let ahead = self.pieces_ahead(&set, now);
        let done_at = now + self.drain_time(ahead + count(set.pieces), now);
        if set.refusable && done_at > set.deadline {
            let retry_after = now.until(done_at);
            return Err(StageRefusal { retry_after });
        }
        let number = SetNumber(self.next_set);
        self.next_set += 1;
        let is_late = self.is_hopeless(&set, now);
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
            },
        );
        Ok(number)
    }

    /// Takes a set back. Returns the results that were produced for it.
    pub fn cancel(&mut self, number: SetNumber) -> Vec<String> {
        let set = self.sets.remove(&number);
        set.map(|set| set.results.into_iter().flatten().collect())
            .unwrap_or_default()
    }

    /// How much waits. A new set waits until those before it are done, and not
    /// less than others have waited of late, whatever kept them.
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

    /// Pieces that wait for a call.
    #[must_use]
    pub fn waiting_pieces(&self) -> usize {
        self.sets.values().map(|set| set.waiting.len()).sum()
    }

    /// Zone of a target.
    #[must_use]
    pub fn zone_of(&self, target: &TargetId) -> Option<&ZoneName> {
        self.targets.get(target).map(|target| &target.zone)
    }

    /// Sets that wait and can't be done in their time any more. They end here:
    /// those whose time is over, and the late ones of which more wait than will
    /// be done.
    pub fn shed(&mut self, now: ClockTime) -> Vec<SetEnd> {
        let mut late: Vec<(SetNumber, SetFailure)> = Vec::new();
        for (number, set) in &self.sets {
            if !set.waiting.is_empty() && set.set.deadline < self.least_end(&set.set, now) {
                late.push((*number, SetFailure::Late));
            }
        }
        late.extend(self.crowded(now));
        late.into_iter()
            .map(|(number, failure)| self.fail(number, failure))
            .collect()
    }

    /// Takes note that results are no longer held by their makers.
    pub fn free(&mut self, names: &[String]) {
        for name in names {
            if let Some(result) = self.held.remove(name) {
                self.give_room(&result.maker, result.bytes);
            }
        }
    }

    /// The next call to make, if there is one. Asked again until there is
    /// none.
    #[must_use]
    pub fn plan(&mut self, now: ClockTime) -> Option<StageCall> {
        for result in self.held.take_expired(now) {
            self.give_room(&result.maker, result.bytes);
        }
        self.give_up_goals(now);
        let order = self.order(now);
        let waiting: usize = order
            .iter()
            .map(|number| self.sets[number].waiting.len())
            .sum();
        if waiting == 0 || (waiting < self.service.batch && now < self.next_start) {
            return None;
        }
        let target = order
            .iter()
            .find_map(|number| self.pick_target(*number, now))?;
        let pieces = self.fill(&target, &order, now);
        let late = pieces.iter().filter(|piece| self.sets[&piece.set].is_late);
        self.late_pace.note(late.count(), now);
        let mut begun: Vec<SetNumber> = pieces.iter().map(|piece| piece.set).collect();
        begun.dedup();
        for set in begun.iter().map(|number| &self.sets[number]) {
            if !set.is_late {
                self.recent.note_wait(now.since(set.arrived_at));
            }
        }
        let expected_ms = self.service.call_time(pieces.len());
        let number = CallNumber(self.next_call);
        self.next_call += 1;
        let places = self.open_places(now).max(1.0);
        self.next_start = now + numbers::span(expected_ms / places);
        let state = self.targets.get_mut(&target)?;
        state.running += 1;
        let pace = state.pace.max(1.0);
        let room_left = self.service.room.as_bytes().saturating_sub(state.taken);
        self.calls.insert(
            number,
            RunningCall {
                target: target.clone(),
                pieces: pieces.clone(),
                started: now,
                expected_ms,
            },
        );
        Some(StageCall {
            number,
            target,
            room_left: ByteSize::from_bytes(room_left),
            waiting: waiting.saturating_sub(pieces.len()),
            pieces,
            timeout: numbers::span(expected_ms * pace.min(2.0) * TIMEOUT_FACTOR + TIMEOUT_SLACK_MS),
        })
    }

    /// When [`Self::plan`] should be asked again, if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self, now: ClockTime) -> Option<ClockTime> {
        if self.waiting_pieces() == 0 {
            return None;
        }
        let has_free = self.targets.values().any(|target| target.is_free(now));
        if has_free {
            let soon = now + LOOK_SPAN;
            return Some(if self.next_start > now {
                self.next_start.min(soon)
            } else {
                soon
            });
        }
        let paused = self.targets.values().filter(|target| {
            target.listed && target.running < target.slots && target.paused_until > now
        });
        let resumes = paused.map(|target| target.paused_until).min();
        let dead = self.sets.values().map(|set| set.set.deadline).min();
        let times = resumes.into_iter().chain(dead);
        times.chain(self.held.next_expiry()).min()
    }
}

pub(super) fn count(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
