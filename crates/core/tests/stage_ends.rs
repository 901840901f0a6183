//! How calls of a stage's queue end: slow, failing and refusing targets, sets
//! that are cancelled or handed over.

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
fn failed_call_is_repeated_elsewhere_and_not_without_end() {
    let mut queue = queue(SERVICE, 3);
    let number = queue.offer(set(at(0), 900, 60_000), at(0)).expect("time");
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
    queue.offer(set(at(0), 900, 60_000), at(0)).expect("time");
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
    // The first target turns slow: its calls take five times as long.
    for _ in 0..8 {
        queue.offer(set(now, 9_000, 60_000), now).expect("time");
        let call = queue.plan(now).expect("a call");
        let took = if call.target == target(0) { 900 } else { 180 };
        now = now + TimeSpan::from_millis(took);
        queue.finish(call.number, results(&call), now);
    }
    queue.offer(set(now, 9_000, 60_000), now).expect("time");
    let call = queue.plan(now).expect("a call");
    assert_eq!(call.target, target(1));
    queue.offer(set(now, 9_000, 60_000), now).expect("time");
    now = now + TimeSpan::from_millis(100);
    assert_eq!(queue.plan(now), None, "little waits: the slow one rests");
    for _ in 0..8 {
        queue.offer(set(now, 9_000, 60_000), now).expect("time");
    }
    assert_matches!(queue.plan(now), Some(call) if call.target == target(0));
}

#[test]
fn results_of_a_cancelled_set_are_handed_back() {
    let mut queue = queue(SERVICE, 1);
    let number = queue.offer(set(at(0), 900, 9_000), at(0)).expect("time");
    let call = queue.plan(at(0)).expect("a call");
    assert_eq!(queue.cancel(number), Vec::<String>::new());
    let ends = queue.finish(call.number, results(&call), at(200));
    let unused: usize = ends.iter().map(|end| end.unused.len()).sum();
    assert_eq!(unused, call.pieces.len());
}

/// What may happen to a queue.
#[derive(Clone, Copy, Debug)]
enum QueueMove {
    Offer { pieces: u32, goal: u64, dead: u64 },
    Cancel(usize),
    Finish { call: usize, how: u8 },
    Targets(usize),
    Pass(u64),
}

fn moves() -> impl Strategy<Value = QueueMove> {
    prop_oneof![
        4 => (1..12_u32, 1..2_000_u64, 1..6_000_u64)
            .prop_map(|(pieces, goal, dead)| QueueMove::Offer { pieces, goal, dead }),
        1 => (0..8_usize).prop_map(QueueMove::Cancel),
        4 => (0..4_usize, 0..5_u8).prop_map(|(call, how)| QueueMove::Finish { call, how }),
        1 => (0..4_usize).prop_map(QueueMove::Targets),
        3 => (1..400_u64).prop_map(QueueMove::Pass),
    ]
}

fn end_of(call: &StageCall, how: u8) -> CallEnd {
    let answer = |end: PieceEnd| CallEnd::Answered(vec![end; call.pieces.len()]);
    match how {
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
    fn every_set_ends_once_with_its_own_results(moves in prop::collection::vec(moves(), 1..120)) {
        let mut queue = queue(SERVICE, 3);
        let mut open: BTreeMap<SetNumber, u32> = BTreeMap::new();
        let mut calls: Vec<StageCall> = Vec::new();
        let mut now = at(0);
        for step in moves {
            let mut ends = Vec::new();
            match step {
                QueueMove::Offer { pieces, goal, dead } => {
                    let set = StageSet { pieces, ..set(now, goal, dead) };
                    if let Ok(number) = queue.offer(set, now) {
                        open.insert(number, pieces);
                    }
                }
                QueueMove::Cancel(place) => {
                    if let Some(number) = open.keys().nth(place).copied() {
                        open.remove(&number);
                        queue.cancel(number);
                    }
                }
                QueueMove::Finish { call, how } if call < calls.len() => {
                    let call = calls.remove(call);
                    ends = queue.finish(call.number, end_of(&call, how), now);
                }
                QueueMove::Finish { .. } => {}
                QueueMove::Targets(count) => {
                    queue.set_targets((0..count).map(|number| (target(number), zone(0), 1)));
                }
                QueueMove::Pass(millis) => now = now + TimeSpan::from_millis(millis),
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
    let begun = queue.offer(set(now, 5_000, 6_000), now).expect("a place");
    let split = queue.offer(set(now, 5_001, 6_000), now).expect("a place");
    let waits = queue.offer(set(now, 5_002, 6_000), now).expect("a place");
    let kept = StageSet {
        movable: false,
        ..set(now, 5_003, 6_000)
    };
    let kept = queue.offer(kept, now).expect("a place");
    let call = queue.plan(now).expect("a call");
    assert!(call.pieces.iter().any(|piece| piece.set == begun));
    let moved = queue.hand_over();
    let moved: Vec<SetNumber> = moved
        .into_iter()
        .map(|end| {
            assert_matches!(end.outcome, Err(SetFailure::Moved));
            assert!(end.unused.is_empty());
            end.set
        })
        .collect();
    let untouched = |set: &SetNumber| !call.pieces.iter().any(|piece| piece.set == *set);
    let expected: Vec<SetNumber> = [split, waits].into_iter().filter(untouched).collect();
    assert_eq!(moved, expected);
    // The rest is finished here.
    let mut now = now;
    let mut done = queue.finish(call.number, results(&call), now);
    for _ in 0..100 {
        now = now + TimeSpan::from_millis(200);
        while let Some(call) = queue.plan(now) {
            done.extend(queue.finish(call.number, results(&call), now));
        }
    }
    let done: BTreeSet<SetNumber> = done.into_iter().map(|end| end.set).collect();
    assert!(done.contains(&begun) && done.contains(&kept));
}

#[test]
fn target_that_turns_a_call_away_with_a_time_gets_none_before_its_end() {
    let mut queue = queue(SERVICE, 1);
    let now = at(0);
    queue.offer(set(now, 9_000, 9_500), now).expect("a place");
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
fn target_that_works_for_others_is_asked_less_and_less_until_it_answers() {
    let mut queue = queue(SERVICE, 1);
    queue
        .offer(set(at(0), 9_000, 9_500), at(0))
        .expect("a place");
    let mut asked = Vec::new();
    for millis in (0..3_000).step_by(10) {
        if let Some(call) = queue.plan(at(millis)) {
            asked.push(millis);
            let refused = CallEnd::Refused { closed_for: None };
            assert!(queue.finish(call.number, refused, at(millis)).is_empty());
        }
    }
    let gaps: Vec<u64> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let least = [60, 120, 240, 480, 480, 480];
    assert!(gaps.len() >= least.len(), "{asked:?}");
    let pairs = gaps.iter().zip(least);
    assert!(pairs.clone().all(|(gap, least)| *gap >= least), "{gaps:?}");
    // Never longer than two calls: the target may have been free for a while.
    assert!(gaps.iter().all(|gap| *gap <= 500), "{gaps:?}");
    let call = queue.plan(at(3_300)).expect("a call");
    assert_eq!(
        queue.finish(call.number, results(&call), at(3_500)).len(),
        1
    );
    queue
        .offer(set(at(3_500), 9_000, 9_500), at(3_500))
        .expect("a place");
    let call = queue.plan(at(3_600)).expect("a call");
    let refused = CallEnd::Refused { closed_for: None };
    queue.finish(call.number, refused, at(3_600));
    // Not yet, had the earlier refusals counted.
    assert!(queue.plan(at(3_900)).is_some());
}
