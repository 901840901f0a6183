//! Where a stage's queue has sets made: room for results, and the zones in
//! which they are read.

mod stage_fixture;

use std::collections::{BTreeMap, BTreeSet};

use self::stage_fixture::{SERVICE, TARGETS, at, queue, results, set, target, zone};
use assert_matches::assert_matches;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    routes::StageService,
    staging::{CallEnd, PieceEnd, SetNumber, StageCall, StageQueue, StageSet},
    units::ByteSize,
};

#[test]
fn call_takes_sets_of_its_zone_before_those_of_others() {
    let mut queue = queue(SERVICE, 1);
    let home = |number: usize, now: ClockTime| StageSet {
        preferred_zone: Some(zone(number)),
        ..set(now, 2_000, 9_000)
    };
    let now = at(1_000);
    let away: Vec<_> = (0..6)
        .map(|_| queue.offer(home(1, now), now).expect("time"))
        .collect();
    let near: Vec<_> = (0..4)
        .map(|_| queue.offer(home(0, now), now).expect("time"))
        .collect();
    // All have waited for longer than sets do for their own zone.
    let later = now + TimeSpan::from_millis(400);
    let call = queue.plan(later).expect("a call");
    let called: BTreeSet<SetNumber> = call.pieces.iter().map(|piece| piece.set).collect();
    assert!(near.iter().all(|number| called.contains(number)));
    assert_eq!(
        away.iter().filter(|number| called.contains(number)).count(),
        1,
        "only the most urgent one"
    );
}

#[test]
fn calls_keep_to_the_room_of_their_target() {
    let service = StageService {
        batch: 10,
        room: ByteSize::from_bytes(58_000_000),
        ..SERVICE
    };
    let mut queue = queue(service, 1);
    let large = |now| StageSet {
        pieces: 5,
        piece_bytes: 3_000_000,
        ..set(now, 5_000, 20_000)
    };
    for _ in 0..6 {
        queue.offer(large(at(0)), at(0)).expect("time");
    }
    let mut held = Vec::new();
    let mut now = at(0);
    // 19 results fit: two sets, then one.
    for expected in [10, 5] {
        let call = queue.plan(now).expect("a call");
        assert_eq!(call.pieces.len(), expected);
        now = now + TimeSpan::from_millis(300);
        let answer = results(&call);
        if let CallEnd::Answered(ends) = &answer {
            held.extend(ends.iter().filter_map(|end| match end {
                PieceEnd::Held(name) => Some(name.clone()),
                _ => None,
            }));
        }
        queue.finish(call.number, answer, now);
        now = now + TimeSpan::from_millis(100);
    }
    assert_matches!(queue.plan(now), Some(call) if call.pieces.len() == 4);
    assert_eq!(queue.plan(now), None);
    queue.free(&held);
    now = now + TimeSpan::from_millis(1);
    assert_eq!(queue.plan(now), None, "the target is busy");
}

#[test]
fn results_that_nobody_freed_give_their_room_back_when_they_expire() {
    let service = StageService {
        room: ByteSize::from_bytes(8_000),
        ..SERVICE
    };
    let mut queue = queue(service, 1);
    let full = |now| StageSet {
        piece_bytes: 1_000,
        ..set(now, 9_000, 20_000)
    };
    queue.offer(full(at(0)), at(0)).expect("time");
    queue.offer(full(at(0)), at(0)).expect("time");
    let call = queue.plan(at(0)).expect("a call");
    queue.finish(call.number, results(&call), at(200));
    assert_eq!(queue.plan(at(400)), None);
    assert_eq!(queue.next_wakeup(at(400)), Some(at(420)));
    assert!(queue.plan(at(4_300)).is_some());
}

#[test]
fn sets_stay_whole_and_go_to_the_zone_of_their_inputs() {
    let mut queue = queue(SERVICE, TARGETS);
    let now = at(0);
    let home = StageSet {
        preferred_zone: Some(zone(1)),
        ..set(now, 900, 9_000)
    };
    for _ in 0..2 {
        queue.offer(home.clone(), now).expect("time");
    }
    let call = queue.plan(now).expect("a call");
    assert_eq!(queue.zone_of(&call.target), Some(&zone(1)));
    assert_eq!(call.pieces.len(), 16);
}

#[test]
fn set_whose_zone_is_busy_goes_elsewhere_after_a_while() {
    // A full call takes 278 ms. Zones have one target or several, of which all
    // but one in another zone are busy.
    for (targets, zones, patience) in [(4, 4, 278), (8, 4, 278), (16, 4, 139)] {
        let mut queue = StageQueue::new(SERVICE);
        let each = |number: usize| (target(number), zone(number % zones), 1);
        queue.set_targets((0..targets).map(each));
        let away = StageSet {
            preferred_zone: Some(zone(2)),
            ..set(at(0), 2_000, 9_000)
        };
        let in_zone = targets / zones;
        for _ in 0..in_zone {
            // One call fills each target of the zone.
            let full = StageSet {
                pieces: 44,
                ..away.clone()
            };
            queue.offer(full, at(0)).expect("time");
            let call = queue.plan(at(0)).expect("a call");
            assert_eq!(queue.zone_of(&call.target), Some(&zone(2)));
        }
        let now = at(100);
        queue.offer(away, now).expect("time");
        let later = |span: u64| now + TimeSpan::from_millis(span);
        assert_eq!(queue.plan(later(patience - 5)), None, "{targets} targets");
        let call = queue.plan(later(patience + 5)).expect("a call");
        assert_ne!(queue.zone_of(&call.target), Some(&zone(2)));
    }
}

#[test]
fn set_whose_zone_has_no_target_does_not_wait_for_one() {
    let mut queue = queue(SERVICE, 1);
    let away = StageSet {
        preferred_zone: Some(zone(2)),
        ..set(at(0), 2_000, 9_000)
    };
    queue.offer(away, at(0)).expect("time");
    assert!(queue.plan(at(0)).is_some());
}

#[test]
fn most_large_results_are_made_in_their_zone_though_it_has_one_target() {
    // Calls of up to eight large pieces, one target in each of four zones.
    let service = StageService {
        batch: 8,
        piece_ms: 16.0,
        room: ByteSize::from_bytes(36_000_000),
        ..SERVICE
    };
    let mut queue = StageQueue::new(service);
    queue.set_targets((0..4).map(|number| (target(number), zone(number), 1)));
    let mut rng = fastrand::Rng::with_seed(1);
    let mut homes = BTreeMap::new();
    let mut ends: Vec<(u64, StageCall)> = Vec::new();
    let (mut made, mut away, mut late) = (0, 0, 0);
    for now in 0..60_000 {
        let (over, running) = ends.into_iter().partition(|(end, _)| *end <= now);
        ends = running;
        for (_, call) in over {
            let names = results(&call);
            for end in queue.finish(call.number, names, at(now)) {
                let names = end.outcome.expect("results");
                queue.free(&names);
            }
        }
        // Three tenths of what full calls carry.
        if rng.f64() < 0.014 {
            let home = zone(rng.usize(..4));
            let wanted = StageSet {
                pieces: rng.u32(1..=4),
                piece_bytes: 3_000_000,
                preferred_zone: Some(home.clone()),
                ..set(at(now), 850, 8_000)
            };
            homes.insert(queue.offer(wanted, at(now)).expect("a place"), home);
        }
        while let Some(call) = queue.plan(at(now)) {
            let zone = queue.zone_of(&call.target).expect("a zone");
            made += call.pieces.len();
            let crossing = call
                .pieces
                .iter()
                .filter(|piece| homes[&piece.set] != *zone);
            away += crossing.count();
            let took =
                SERVICE.call_ms + 16.0 * f64::from(u32::try_from(call.pieces.len()).expect("few"));
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let end = now + took as u64;
            late += call
                .pieces
                .iter()
                .filter(|piece| at(end) + TimeSpan::from_millis(7_150) > at(now) + piece.time_left)
                .count();
            ends.push((end, call));
        }
    }
    assert!(made > 1_500, "{made}");
    assert!(late * 100 <= made, "{late} of {made} are late");
    assert!(
        away * 10 <= made,
        "{away} of {made} are made in another zone"
    );
}
