//! Handles the end of a call: updates its sets, its target and the room there.

use super::{
    CallEnd, CallNumber, CallPiece, PieceEnd, SetEnd, SetFailure, SetNumber, StageQueue,
    held_results::HeldResult,
    running_call::RunningCall,
    stage_queue::{MAX_PAUSE, count},
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::TargetId,
    policy::numbers,
};

/// Number of times that the pieces of a set are retried after a failed call.
const MAX_SET_RETRIES: u32 = 2;
/// First pause of a target after a failed call. Doubles with each further
/// consecutive failure.
const FIRST_FAILURE_PAUSE: TimeSpan = TimeSpan::from_millis(500);
/// First pause of a target that refused a call because it works for another node.
/// Doubles with each further refusal: with a fixed pause, two nodes that call one
/// target in turn leave it idle for half of the time, and many would never let it
/// work.
const FIRST_REFUSAL_PAUSE: TimeSpan = TimeSpan::from_millis(60);
/// Limit on the doublings of that pause, which is two calls long by then.
const MAX_REFUSAL_DOUBLINGS: u32 = 3;
/// Pause of a target that has no room for a result.
const NO_ROOM_PAUSE: TimeSpan = TimeSpan::from_millis(100);

impl StageQueue {
    /// Handles the end of a call. Returns the sets that ended with it.
    pub fn finish(&mut self, number: CallNumber, end: CallEnd, now: ClockTime) -> Vec<SetEnd> {
        let Some(call) = self.calls.remove(&number) else {
            return Vec::new();
        };
        self.update_target(&call, &end, now);
        self.update_room(&call, &end, now);
        match end {
            CallEnd::Answered(ends) if ends.len() == call.pieces.len() => {
                let mut done = Vec::new();
                for (piece, end) in call.pieces.iter().zip(ends) {
                    done.extend(self.finish_piece(*piece, end, now));
                }
                done
            }
            CallEnd::Refused { .. } | CallEnd::OverLimit { .. } => {
                for piece in call.pieces {
                    self.requeue(piece);
                }
                Vec::new()
            }
            CallEnd::Answered(_) | CallEnd::Failed => self.retry(&call.pieces, now),
        }
    }

    pub(super) fn finish_piece(
        &mut self,
        piece: CallPiece,
        end: PieceEnd,
        now: ClockTime,
    ) -> Option<SetEnd> {
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
                let slot = set.results.get_mut(count(piece.piece))?;
                if slot.replace(name).is_none() {
                    set.missing = set.missing.saturating_sub(1);
                }
                if set.missing > 0 {
                    return None;
                }
                let set = self.sets.remove(&piece.set)?;
                match set.open_goal {
                    Some(keys) if now <= set.set.goal_at => self.goals.meet(keys),
                    Some(keys) => self.goals.miss(keys),
                    None => {}
                }
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

    /// Removes the sets that another collector may take over: movable ones with
    /// all pieces still waiting and no failed call. They end as
    /// [`SetFailure::Moved`].
    pub fn hand_over(&mut self) -> Vec<SetEnd> {
        let not_started = self.sets.iter().filter(|(_, set)| {
            let is_whole = set.waiting.len() == set.results.len();
            set.set.movable && is_whole && set.retries == 0
        });
        let moved: Vec<SetNumber> = not_started.map(|(number, _)| *number).collect();
        moved
            .into_iter()
            .map(|number| self.fail(number, SetFailure::Moved))
            .collect()
    }

    /// Requeues the pieces of a failed call, which counts as one retry for each
    /// of its sets. Sets beyond the retry limit or their deadline end.
    pub(super) fn retry(&mut self, pieces: &[CallPiece], now: ClockTime) -> Vec<SetEnd> {
        let mut sets: Vec<SetNumber> = pieces.iter().map(|piece| piece.set).collect();
        sets.dedup();
        let mut done = Vec::new();
        for number in sets {
            let Some(set) = self.sets.get_mut(&number) else {
                continue;
            };
            set.retries += 1;
            if set.retries > MAX_SET_RETRIES {
                done.push(self.fail(number, SetFailure::Failed));
            } else if set.set.deadline <= now {
                done.push(self.fail(number, SetFailure::Late));
            } else {
                for piece in pieces.iter().filter(|piece| piece.set == number) {
                    self.requeue(*piece);
                }
            }
        }
        done
    }

    pub(super) fn requeue(&mut self, piece: CallPiece) {
        let Some(set) = self.sets.get_mut(&piece.set) else {
            return;
        };
        let is_missing = set.results.get(count(piece.piece)) == Some(&None);
        if is_missing && !set.waiting.contains(&piece.piece) {
            set.waiting.push(piece.piece);
        }
    }

    pub(super) fn fail(&mut self, number: SetNumber, failure: SetFailure) -> SetEnd {
        if failure != SetFailure::Moved {
            self.miss_goal(number);
        }
        SetEnd {
            set: number,
            outcome: Err(failure),
            unused: self.cancel(number),
        }
    }

    pub(super) fn update_target(&mut self, call: &RunningCall, end: &CallEnd, now: ClockTime) {
        let Some(target) = self.targets.get_mut(&call.target) else {
            return;
        };
        target.running = target.running.saturating_sub(1);
        let took = numbers::millis(now.since(call.started_at));
        match end {
            CallEnd::Answered(ends) => {
                target.failures = 0;
                target.refusals = 0;
                target.record_slowdown(took / call.expected_ms.max(1.0));
                self.recent.record_call(took, call.expected_ms);
                if ends.contains(&PieceEnd::NoRoom) {
                    target.paused_until = now + NO_ROOM_PAUSE;
                }
            }
            CallEnd::Refused { closed_for } => {
                let doublings = target.refusals.min(MAX_REFUSAL_DOUBLINGS);
                target.refusals += 1;
                let pause = FIRST_REFUSAL_PAUSE * (1 << doublings);
                target.paused_until = now + closed_for.unwrap_or_default().max(pause);
            }
            CallEnd::OverLimit { retry_after } => target.paused_until = now + *retry_after,
            CallEnd::Failed => {
                let doublings = target.failures.min(8);
                target.failures += 1;
                let pause = (FIRST_FAILURE_PAUSE * (1 << doublings)).min(MAX_PAUSE);
                target.paused_until = now + pause;
            }
        }
        self.targets
            .retain(|_, target| target.listed || target.running > 0);
    }

    /// Releases the room that a call had reserved and accounts for the results
    /// that it has left at the target.
    pub(super) fn update_room(&mut self, call: &RunningCall, end: &CallEnd, now: ClockTime) {
        let reserved: u64 = call.pieces.iter().map(|piece| piece.bytes).sum();
        self.release_room(&call.target, reserved);
        let CallEnd::Answered(ends) = end else {
            return;
        };
        let expires = now + self.service.result_lifetime;
        for (piece, end) in call.pieces.iter().zip(ends) {
            if let PieceEnd::Held(name) = end {
                let result = HeldResult {
                    target: call.target.clone(),
                    bytes: piece.bytes,
                };
                self.held.insert(name, result, expires);
                if let Some(target) = self.targets.get_mut(&call.target) {
                    target.used_room += piece.bytes;
                }
            }
        }
    }

    pub(super) fn release_room(&mut self, target: &TargetId, bytes: u64) {
        if let Some(target) = self.targets.get_mut(target) {
            target.used_room = target.used_room.saturating_sub(bytes);
        }
    }
}
