use std::collections::{BTreeMap, BTreeSet};

use super::{
    CallEnd, CallNumber, CallPiece, PieceEnd, QueueBacklog, SetEnd, SetFailure, SetNumber,
    StageCall, StageRefusal, StageSet,
    held_results::{HeldResult, HeldResults},
    queue_target::QueueTarget,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{PoolName, TargetId, ZoneName},
    policy::numbers,
    routes::StageService,
};

/// Multiple of a call's expected time after which it is given up.
const TIMEOUT_FACTOR: f64 = 3.0;
/// Time added to it for the network and a call that waits at the target.
const TIMEOUT_SLACK_MS: f64 = 250.0;
/// Times that one set's pieces are tried again after a failed call.
const SET_RETRIES: u32 = 2;
/// First pause of a target after a failed call. Doubles with each further one.
const FIRST_PAUSE: TimeSpan = TimeSpan::from_millis(500);
/// Longest pause of a target.
const LONGEST_PAUSE: TimeSpan = TimeSpan::from_secs(4);
/// Pause of a target that refused a call.
const REFUSED_PAUSE: TimeSpan = TimeSpan::from_millis(60);
/// Pause of a target that has no room for results.
const NO_ROOM_PAUSE: TimeSpan = TimeSpan::from_millis(100);
/// Part of a full call's time for which a set waits for a target in the zone
/// of its results. Longer, and the set would miss a whole round of calls.
const HOME_PATIENCE: f64 = 0.5;
/// By how much a set of the next lower rank counts as less urgent. About the
/// time of a call: in a burst lower ranks are late first.
const PRIORITY_STEP: TimeSpan = TimeSpan::from_millis(250);
/// Lowest rank that is told from those below.
const LOWEST_RANK: u8 = 4;
/// Longest wait between two looks at a queue in which something waits though a
/// target is free.
const LOOK_SPAN: TimeSpan = TimeSpan::from_millis(20);

/// One waiting or running set.
#[derive(Clone, Debug)]
struct QueuedSet {
    set: StageSet,
    arrived_at: ClockTime,
    /// Pieces that wait for a call.
    waiting: Vec<u32>,
    results: Vec<Option<String>>,
    missing: u32,
    retries: u32,
}

/// One call under way.
#[derive(Clone, Debug)]
struct RunningCall {
    target: TargetId,
    pieces: Vec<CallPiece>,
    started: ClockTime,
    expected_ms: f64,
}

/// Shares the calls of a stage's targets between the requests that wait.
///
/// Answers to this load pattern: a call costs a fixed time and a little for
/// each piece, targets do one call at a time, and in a burst more pieces
/// arrive than calls of one request each could carry. Pieces wait here, not at
/// the targets. Calls start one after the other, evenly spread over the time
/// that a call takes, so that each one collects what has come meanwhile. Sets
/// that can still meet their goal go first, the most urgent before the others;
/// then those that can only be late. A set that can't be done before its
/// deadline is turned away as it arrives.
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
    service: StageService,
    targets: BTreeMap<TargetId, QueueTarget>,
    sets: BTreeMap<SetNumber, QueuedSet>,
    calls: BTreeMap<CallNumber, RunningCall>,
    held: HeldResults,
    /// Services with a backlog.
    clogged: BTreeSet<PoolName>,
    next_set: u64,
    next_call: u64,
    /// Earliest start of the next call that isn't full.
    next_start: ClockTime,
}

impl StageQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(service: StageService) -> Self {
        Self {
            service,
            targets: BTreeMap::new(),
            sets: BTreeMap::new(),
            calls: BTreeMap::new(),
            held: HeldResults::default(),
            clogged: BTreeSet::new(),
            next_set: 0,
            next_call: 0,
            next_start: ClockTime::ZERO,
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
        for (id, zone, slots) in targets {
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

    /// Takes in which services have a backlog.
    pub fn set_clogged(&mut self, clogged: BTreeSet<PoolName>) {
        self.clogged = clogged;
    }

    /// Services that come after sets of this queue.
    #[must_use]
    pub fn followers(&self) -> BTreeSet<PoolName> {
        let sets = self.sets.values();
        sets.flat_map(|set| set.set.followers.iter().cloned())
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
        if set.refusable && done_at > set.dead_at {
            let over = set.dead_at.until(done_at);
            return Err(StageRefusal { retry_after: over });
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
    /// less than the first of them has waited, whatever keeps it.
    #[must_use]
    pub fn backlog(&self, now: ClockTime) -> QueueBacklog {
        let least = self.least_end(now);
        let (mut on_time, mut total) = (0, 0);
        let mut oldest = TimeSpan::ZERO;
        for number in self.order(now) {
            let set = &self.sets[&number];
            total += set.waiting.len();
            if set.set.goal_at >= least {
                on_time += set.waiting.len();
                oldest = oldest.max(now.since(set.arrived_at));
            }
        }
        QueueBacklog {
            on_time: self.wait_time(on_time, now).max(oldest),
            total: self.wait_time(total, now).max(oldest),
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

    /// Sets that wait and can't be done in their time any more. They end here.
    pub fn take_late(&mut self, now: ClockTime) -> Vec<SetEnd> {
        let least = self.least_end(now);
        let late: Vec<SetNumber> = self
            .sets
            .iter()
            .filter(|(_, set)| !set.waiting.is_empty() && set.set.dead_at < least)
            .map(|(number, _)| *number)
            .collect();
        late.into_iter()
            .map(|number| self.fail(number, SetFailure::Late))
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
        let expected_ms = self.service.call_time(pieces.len());
        let number = CallNumber(self.next_call);
        self.next_call += 1;
        let places = self.open_places(now).max(1.0);
        self.next_start = now + numbers::span(expected_ms / places);
        let state = self.targets.get_mut(&target)?;
        state.running += 1;
        let pace = state.pace.max(1.0);
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
            pieces,
            timeout: numbers::span(expected_ms * pace.min(2.0) * TIMEOUT_FACTOR + TIMEOUT_SLACK_MS),
        })
    }

    /// When [`Self::plan`] should be asked again, if nothing else happens.
    #[must_use]
    pub fn next_time(&self, now: ClockTime) -> Option<ClockTime> {
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
        let dead = self.sets.values().map(|set| set.set.dead_at).min();
        let times = resumes.into_iter().chain(dead);
        times.chain(self.held.next_expiry()).min()
    }

    /// Takes in the end of a call. Returns the sets that are done with.
    pub fn finish(&mut self, number: CallNumber, end: CallEnd, now: ClockTime) -> Vec<SetEnd> {
        let Some(call) = self.calls.remove(&number) else {
            return Vec::new();
        };
        self.observe(&call, &end, now);
        self.settle_room(&call, &end, now);
        match end {
            CallEnd::Answered(ends) if ends.len() == call.pieces.len() => {
                let mut done = Vec::new();
                for (piece, end) in call.pieces.iter().zip(ends) {
                    done.extend(self.finish_piece(*piece, end, now));
                }
                done
            }
            CallEnd::Refused => {
                for piece in call.pieces {
                    self.requeue(piece);
                }
                Vec::new()
            }
            CallEnd::Answered(_) | CallEnd::Failed => self.retry(&call.pieces, now),
        }
    }

    fn finish_piece(&mut self, piece: CallPiece, end: PieceEnd, now: ClockTime) -> Option<SetEnd> {
        let Some(set) = self.sets.get_mut(&piece.set) else {
            let PieceEnd::Held(name) = end else {
                return None;
            };
            return Some(SetEnd {
                set: piece.set,
                outcome: Err(SetFailure::Late),
                unused: vec![name],
            });
        };
        match end {
            PieceEnd::Held(name) => {
                let place = set.results.get_mut(count(piece.piece))?;
                if place.replace(name).is_none() {
                    set.missing = set.missing.saturating_sub(1);
                }
                if set.missing > 0 {
                    return None;
                }
                let set = self.sets.remove(&piece.set)?;
                Some(SetEnd {
                    set: piece.set,
                    outcome: Ok(set.results.into_iter().flatten().collect()),
                    unused: Vec::new(),
                })
            }
            PieceEnd::Late => Some(self.fail(piece.set, SetFailure::Late)),
            PieceEnd::InputGone => Some(self.fail(piece.set, SetFailure::InputGone)),
            PieceEnd::NoRoom => {
                self.requeue(piece);
                None
            }
            PieceEnd::Failed => self.retry(&[piece], now).pop(),
        }
    }

    /// Puts pieces of a failed call back, once for each set; sets that have
    /// failed too often end.
    fn retry(&mut self, pieces: &[CallPiece], now: ClockTime) -> Vec<SetEnd> {
        let mut sets: Vec<SetNumber> = pieces.iter().map(|piece| piece.set).collect();
        sets.dedup();
        let mut done = Vec::new();
        for number in sets {
            let Some(set) = self.sets.get_mut(&number) else {
                continue;
            };
            set.retries += 1;
            if set.retries > SET_RETRIES {
                done.push(self.fail(number, SetFailure::Failed));
            } else if set.set.dead_at <= now {
                done.push(self.fail(number, SetFailure::Late));
            } else {
                for piece in pieces.iter().filter(|piece| piece.set == number) {
                    self.requeue(*piece);
                }
            }
        }
        done
    }

    fn requeue(&mut self, piece: CallPiece) {
        let Some(set) = self.sets.get_mut(&piece.set) else {
            return;
        };
        let is_missing = set.results.get(count(piece.piece)) == Some(&None);
        if is_missing && !set.waiting.contains(&piece.piece) {
            set.waiting.push(piece.piece);
        }
    }

    fn fail(&mut self, number: SetNumber, failure: SetFailure) -> SetEnd {
        SetEnd {
            set: number,
            outcome: Err(failure),
            unused: self.cancel(number),
        }
    }

    fn observe(&mut self, call: &RunningCall, end: &CallEnd, now: ClockTime) {
        let Some(target) = self.targets.get_mut(&call.target) else {
            return;
        };
        target.running = target.running.saturating_sub(1);
        let took = numbers::millis(now.since(call.started));
        match end {
            CallEnd::Answered(ends) => {
                target.failures = 0;
                target.observe_pace(took / call.expected_ms.max(1.0));
                if ends.contains(&PieceEnd::NoRoom) {
                    target.paused_until = now + NO_ROOM_PAUSE;
                }
            }
            CallEnd::Refused => target.paused_until = now + REFUSED_PAUSE,
            CallEnd::Failed => {
                let doublings = target.failures.min(8);
                target.failures += 1;
                let pause = (FIRST_PAUSE * (1 << doublings)).min(LONGEST_PAUSE);
                target.paused_until = now + pause;
            }
        }
        self.targets
            .retain(|_, target| target.listed || target.running > 0);
    }

    /// Gives back the room that a call had reserved and takes that of the
    /// results which it has left.
    fn settle_room(&mut self, call: &RunningCall, end: &CallEnd, now: ClockTime) {
        let reserved: u64 = call.pieces.iter().map(|piece| piece.bytes).sum();
        self.give_room(&call.target, reserved);
        let CallEnd::Answered(ends) = end else {
            return;
        };
        let expires = now + self.service.result_lifetime;
        for (piece, end) in call.pieces.iter().zip(ends) {
            if let PieceEnd::Held(name) = end {
                let result = HeldResult {
                    maker: call.target.clone(),
                    bytes: piece.bytes,
                };
                self.held.insert(name, result, expires);
                if let Some(target) = self.targets.get_mut(&call.target) {
                    target.taken += piece.bytes;
                }
            }
        }
    }

    fn give_room(&mut self, target: &TargetId, bytes: u64) {
        if let Some(target) = self.targets.get_mut(target) {
            target.taken = target.taken.saturating_sub(bytes);
        }
    }

    fn room_left(&self, target: &QueueTarget) -> u64 {
        self.service.room.as_bytes().saturating_sub(target.taken)
    }

    /// Whether a set may go to a zone: its own, or any if it has waited for
    /// long.
    fn may_go(&self, set: &QueuedSet, zone: &ZoneName, now: ClockTime) -> bool {
        let patience = self.service.call_time(self.service.batch) * HOME_PATIENCE;
        let is_home = set.set.home.as_ref().is_none_or(|home| home == zone);
        is_home || now.since(set.arrived_at) >= numbers::span(patience)
    }

    /// The free target that a set should go to: in its zone if there is one,
    /// then the quickest. A slow one gets a call only if more waits than one
    /// call of the others can carry.
    fn pick_target(&self, number: SetNumber, now: ClockTime) -> Option<TargetId> {
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
            let home = set.set.home.as_ref();
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
    fn fill(&mut self, target: &TargetId, order: &[SetNumber], now: ClockTime) -> Vec<CallPiece> {
        let mut pieces = Vec::new();
        let Some(state) = self.targets.get(target) else {
            return pieces;
        };
        let zone = state.zone.clone();
        let mut room = self.room_left(state);
        for number in order {
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
                    left: now.until(set.set.dead_at),
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

    /// When a call that starts now is expected to end, filled with what waits.
    fn least_end(&self, now: ClockTime) -> ClockTime {
        let pieces = self.waiting_pieces().clamp(1, self.service.batch);
        now + numbers::span(self.service.call_time(pieces))
    }

    /// Sets in the order in which they get places in calls. Sets that are held
    /// back are left out.
    fn order(&self, now: ClockTime) -> Vec<SetNumber> {
        let least = self.least_end(now);
        let mut order: Vec<_> = self
            .sets
            .iter()
            .filter(|(_, set)| !set.waiting.is_empty())
            .filter_map(|(number, set)| {
                let is_late = set.set.goal_at < least;
                // Sets that were begun are finished first: half a set is of
                // no use to anyone.
                let is_whole = set.waiting.len() == set.results.len();
                if is_late && is_whole && set.set.refusable && self.is_clogged(&set.set) {
                    return None;
                }
                let due = if is_late {
                    set.set.dead_at
                } else {
                    set.set.goal_at
                };
                let rank = u64::from(set.set.priority.min(LOWEST_RANK));
                let due = due + PRIORITY_STEP * rank;
                // Late sets of requests that have begun hold results.
                let is_new = is_late && set.set.refusable;
                Some(((is_late, is_whole, is_new, due), *number))
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, number)| number).collect()
    }

    fn is_clogged(&self, set: &StageSet) -> bool {
        let mut followers = set.followers.iter();
        followers.any(|service| self.clogged.contains(service))
    }

    /// Pieces that wait and come before a new set.
    fn pieces_ahead(&self, set: &StageSet, now: ClockTime) -> usize {
        let least = self.least_end(now);
        let is_late = set.goal_at < least;
        let comes_before = |other: &&QueuedSet| {
            let other_late = other.set.goal_at < least;
            match (other_late, is_late) {
                (false, true) => true,
                (true, false) => false,
                (false, false) => other.set.goal_at <= set.goal_at,
                (true, true) => other.set.dead_at <= set.dead_at,
            }
        };
        let ahead = self.sets.values().filter(comes_before);
        ahead.map(|set| set.waiting.len()).sum()
    }

    /// Expected time until `pieces` pieces are done by the targets that work.
    fn drain_time(&self, pieces: usize, now: ClockTime) -> TimeSpan {
        let last = pieces.clamp(1, self.service.batch);
        self.wait_time(pieces.saturating_sub(last), now)
            + numbers::span(self.service.call_time(last))
    }

    /// Expected time until a call starts that comes after `pieces` pieces.
    fn wait_time(&self, pieces: usize, now: ClockTime) -> TimeSpan {
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
    fn open_places(&self, now: ClockTime) -> f64 {
        let open = self
            .targets
            .values()
            .filter(|target| target.listed && target.paused_until <= now);
        open.map(|target| f64::from(target.slots) / target.pace.max(1.0))
            .sum()
    }
}

fn count(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
