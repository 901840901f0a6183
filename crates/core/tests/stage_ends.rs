//! Ends of the calls of a stage's queue: slow, failing and refusing targets, and
//! sets that are cancelled or handed over.

mod stage_fixture;

use std::collections::{BTreeMap, BTreeSet};

use self::stage_fixture::{SERVICE, at, queue, results, set, target, zone};
use assert_matches::assert_matches;
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use verbenahub_core::{
    clock::TimeSpan,
    routes::StageService,
    staging::{CallEnd, PieceEnd, SetFailure, SetNumber, StageCall, StageSet},
};

#[test]
fn failed_call_is_retried_elsewhere_a_limited_number_of_times() {
    let mut queue = queue(SERVICE, 3);
    let number = queue
        .offer(set(at(0), 900, 60_000), at(0))
        .expect("the set is accepted");
    let mut tried = BTreeSet::new();
    let mut now = at(0);
    let mut ends = Vec::new();
    while ends.is_empty() {
        let call = queue.plan(now).expect("a call");
        tried.insert(call.target.clone());
        ends = queue.finish(call.number, CallEnd::Failed, now);
        now = now + TimeSpan::from_millis(100);
    }
    assert_eq!(tried.len(), 3);
    assert_matches!(&ends[..], [end] if end.set == number && end.outcome == Err(SetFailure::Failed));
}

#[test]
fn refused_call_and_missing_room_do_not_count_as_failures() {
    let mut queue = queue(SERVICE, 1);
    queue
        .offer(set(at(0), 900, 60_000), at(0))
        .expect("the set is accepted");
    let mut now = at(0);
    for round in 0..10 {
        let call = queue.plan(now).expect("a call");
        let end = if round % 2 == 0 {
            CallEnd::Refused { closed_for: None }
        } else {
            CallEnd::Answered(vec![PieceEnd::NoRoom; call.pieces.len()])
        };
        assert_eq!(queue.finish(call.number, end, now), Vec::new());
        now = now + TimeSpan::from_millis(200);
    }
}

#[test]
fn slow_target_gets_calls_only_when_the_others_cannot_carry_the_load() {
    let mut queue = queue(SERVICE, 2);
    let mut now = at(0);
    // The first target becomes slow: its calls take five times as long.
    for _ in 0..8 {
        queue
            .offer(set(now, 9_000, 60_000), now)
            .expect("the set is accepted");
        let call = queue.plan(now).expect("a call");
        let took = if call.target == target(0) { 900 } else { 180 };
        now = now + TimeSpan::from_millis(took);
        queue.finish(call.number, results(&call), now);
    }
    queue
        .offer(set(now, 9_000, 60_000), now)
        .expect("the set is accepted");
    let call = queue.plan(now).expect("a call");
    assert_eq!(call.target, target(1));
    queue
        .offer(set(now, 9_000, 60_000), now)
        .expect("the set is accepted");
    now = now + TimeSpan::from_millis(100);
    assert_eq!(
        queue.plan(now),
        None,
        "few pieces wait: the slow target stays idle"
    );
    for _ in 0..8 {
        queue
            .offer(set(now, 9_000, 60_000), now)
            .expect("the set is accepted");
    }
    assert_matches!(queue.plan(now), Some(call) if call.target == target(0));
}

#[test]
fn results_of_a_cancelled_set_are_returned_as_unused() {
    let mut queue = queue(SERVICE, 1);
    let number = queue
        .offer(set(at(0), 900, 9_000), at(0))
        .expect("the set is accepted");
    let call = queue.plan(at(0)).expect("a call");
    assert_eq!(queue.cancel(number), Vec::<String>::new());
    let ends = queue.finish(call.number, results(&call), at(200));
    let unused: usize = ends.iter().map(|end| end.unused.len()).sum();
    assert_eq!(unused, call.pieces.len());
}

/// Event in the life of a queue.
#[derive(Clone, Copy, Debug)]
enum QueueEvent {
    Offer {
        pieces: u32,
        goal: u64,
        deadline: u64,
    },
    Cancel(usize),
    Finish {
        call: usize,
        outcome: u8,
    },
    Targets(usize),
    Advance(u64),
}

fn events() -> impl Strategy<Value = QueueEvent> {
    prop_oneof![
        4 => (1..12_u32, 1..2_000_u64, 1..6_000_u64)
            .prop_map(|(pieces, goal, deadline)| QueueEvent::Offer { pieces, goal, deadline }),
        1 => (0..8_usize).prop_map(QueueEvent::Cancel),
        4 => (0..4_usize, 0..5_u8).prop_map(|(call, outcome)| QueueEvent::Finish { call, outcome }),
        1 => (0..4_usize).prop_map(QueueEvent::Targets),
        3 => (1..400_u64).prop_map(QueueEvent::Advance),
    ]
}

fn end_of(call: &StageCall, outcome: u8) -> CallEnd {
    let answer = |end: PieceEnd| CallEnd::Answered(vec![end; call.pieces.len()]);
    match outcome {
        0 | 1 => results(call),
        2 => CallEnd::Refused { closed_for: None },
        3 => CallEnd::Failed,
        _ => answer(PieceEnd::NoRoom),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed_0002),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Each set ends once, with a result for each of its own pieces, whatever
    /// happens to calls and targets.
    #[test]
    fn every_set_ends_once_with_its_own_results(events in prop::collection::vec(events(), 1..120)) {
        let mut queue = queue(SERVICE, 3);
        let mut open: BTreeMap<SetNumber, u32> = BTreeMap::new();
        let mut calls: Vec<StageCall> = Vec::new();
        let mut now = at(0);
        for event in events {
            let mut ends = Vec::new();
            match event {
                QueueEvent::Offer { pieces, goal, deadline } => {
                    let set = StageSet { pieces, ..set(now, goal, deadline) };
                    if let Ok(number) = queue.offer(set, now) {
                        open.insert(number, pieces);
                    }
                }
                QueueEvent::Cancel(position) => {
                    if let Some(number) = open.keys().nth(position).copied() {
                        open.remove(&number);
                        queue.cancel(number);
                    }
                }
                QueueEvent::Finish { call, outcome } if call < calls.len() => {
                    let call = calls.remove(call);
                    ends = queue.finish(call.number, end_of(&call, outcome), now);
                }
                QueueEvent::Finish { .. } => {}
                QueueEvent::Targets(count) => {
                    queue.set_targets((0..count).map(|number| (target(number), zone(0), 1)));
                }
                QueueEvent::Advance(millis) => now = now + TimeSpan::from_millis(millis),
            }
            ends.extend(queue.shed(now));
            while let Some(call) = queue.plan(now) {
                prop_assert!(call.pieces.len() <= SERVICE.batch && !call.pieces.is_empty());
                let same_target = calls.iter().filter(|other| other.target == call.target);
                prop_assert_eq!(same_target.count(), 0, "a target does one call at a time");
                calls.push(call);
            }
            for end in ends {
                let Ok(names) = end.outcome else {
                    open.remove(&end.set);
                    continue;
                };
                let pieces = open.remove(&end.set);
                prop_assert_eq!(pieces.map(|pieces| pieces as usize), Some(names.len()));
                for (piece, name) in names.iter().enumerate() {
                    let own = format!("/{}.{piece}", end.set.0);
                    prop_assert!(name.ends_with(&own), "{} is not piece {}", name, own);
                }
            }
        }
    }
}

#[test]
fn collector_that_stops_hands_over_only_what_was_not_begun() {
    let service = StageService {
        batch: 12,
        ..SERVICE
    };
    let mut queue = queue(service, 1);
    let now = at(0);
    let started = queue
        .offer(set(now, 5_000, 6_000), now)
        .expect("the set is accepted");
    let next = queue
        .offer(set(now, 5_001, 6_000), now)
        .expect("the set is accepted");
    let last = queue
        .offer(set(now, 5_002, 6_000), now)
        .expect("the set is accepted");
    let kept = StageSet {
        movable: false,
        ..set(now, 5_003, 6_000)
    };
    let kept = queue.offer(kept, now).expect("the set is accepted");
    let call = queue.plan(now).expect("a call");
    assert!(call.pieces.iter().any(|piece| piece.set == started));
    let moved = queue.hand_over();
    let moved: Vec<SetNumber> = moved
        .into_iter()
        .map(|end| {
            assert_matches!(end.outcome, Err(SetFailure::Moved));
            assert!(end.unused.is_empty());
            end.set
        })
        .collect();
    let not_started = |set: &SetNumber| !call.pieces.iter().any(|piece| piece.set == *set);
    let expected: Vec<SetNumber> = [next, last].into_iter().filter(not_started).collect();
    assert_eq!(moved, expected);
    // The queue itself finishes the other sets.
    let mut now = now;
    let mut done = queue.finish(call.number, results(&call), now);
    for _ in 0..100 {
        now = now + TimeSpan::from_millis(200);
        while let Some(call) = queue.plan(now) {
            done.extend(queue.finish(call.number, results(&call), now));
        }
    }
    let done: BTreeSet<SetNumber> = done.into_iter().map(|end| end.set).collect();
    assert!(done.contains(&started) && done.contains(&kept));
}

#[test]
fn target_that_turns_a_call_away_with_a_time_gets_none_before_its_end() {
    let mut queue = queue(SERVICE, 1);
    let now = at(0);
    queue
        .offer(set(now, 9_000, 9_500), now)
        .expect("the set is accepted");
    let call = queue.plan(now).expect("a call");
    let closed_for = Some(TimeSpan::from_millis(3_000));
    let done = queue.finish(call.number, CallEnd::Refused { closed_for }, now);
    assert!(done.is_empty());
    for millis in (0..3_000).step_by(50) {
        assert!(queue.plan(at(millis)).is_none(), "after {millis} ms");
    }
    assert!(queue.plan(at(3_000)).is_some());
}

#[test]
fn target_that_refuses_calls_is_called_less_often_until_it_answers() {
    let mut queue = queue(SERVICE, 1);
    queue
        .offer(set(at(0), 9_000, 9_500), at(0))
        .expect("the set is accepted");
    let mut called_at = Vec::new();
    for millis in (0..3_000).step_by(10) {
        if let Some(call) = queue.plan(at(millis)) {
            called_at.push(millis);
            let refused = CallEnd::Refused { closed_for: None };
            assert!(queue.finish(call.number, refused, at(millis)).is_empty());
        }
    }
    let gaps: Vec<u64> = called_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let shortest = [60, 120, 240, 480, 480, 480];
    assert!(gaps.len() >= shortest.len(), "{called_at:?}");
    let pairs = gaps.iter().zip(shortest);
    assert!(
        pairs.clone().all(|(gap, shortest)| *gap >= shortest),
        "{gaps:?}"
    );
    // At most two calls long, as the target may have been free for a while.
    assert!(gaps.iter().all(|gap| *gap <= 500), "{gaps:?}");
    let call = queue.plan(at(3_300)).expect("a call");
    assert_eq!(
        queue.finish(call.number, results(&call), at(3_500)).len(),
        1
    );
    queue
        .offer(set(at(3_500), 9_000, 9_500), at(3_500))
        .expect("the set is accepted");
    let call = queue.plan(at(3_600)).expect("a call");
    let refused = CallEnd::Refused { closed_for: None };
    queue.finish(call.number, refused, at(3_600));
    // It would still be paused if the earlier refusals counted.
    assert!(queue.plan(at(3_900)).is_some());
}
