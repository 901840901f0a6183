//! Where a stage's queue sends sets: room for results at the targets, and the
//! zones in which the results will be read.

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
    let in_zone = |number: usize, now: ClockTime| StageSet {
        preferred_zone: Some(zone(number)),
        ..set(now, 2_000, 9_000)
    };
    let now = at(1_000);
    let remote: Vec<_> = (0..6)
        .map(|_| {
            queue
                .offer(in_zone(1, now), now)
                .expect("the set is accepted")
        })
        .collect();
    let local: Vec<_> = (0..4)
        .map(|_| {
            queue
                .offer(in_zone(0, now), now)
                .expect("the set is accepted")
        })
        .collect();
    // All sets have waited for longer than the locality wait.
    let later = now + TimeSpan::from_millis(400);
    let call = queue.plan(later).expect("a call");
    let called: BTreeSet<SetNumber> = call.pieces.iter().map(|piece| piece.set).collect();
    assert!(local.iter().all(|number| called.contains(number)));
    assert_eq!(
        remote
            .iter()
            .filter(|number| called.contains(number))
            .count(),
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
        queue
            .offer(large(at(0)), at(0))
            .expect("the set is accepted");
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
fn results_that_are_not_freed_release_their_room_when_they_expire() {
    let service = StageService {
        room: ByteSize::from_bytes(8_000),
        ..SERVICE
    };
    let mut queue = queue(service, 1);
    let full = |now| StageSet {
        piece_bytes: 1_000,
        ..set(now, 9_000, 20_000)
    };
    queue
        .offer(full(at(0)), at(0))
        .expect("the set is accepted");
    queue
        .offer(full(at(0)), at(0))
        .expect("the set is accepted");
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
    let for_zone = StageSet {
        preferred_zone: Some(zone(1)),
        ..set(now, 900, 9_000)
    };
    for _ in 0..2 {
        queue
            .offer(for_zone.clone(), now)
            .expect("the set is accepted");
    }
    let call = queue.plan(now).expect("a call");
    assert_eq!(queue.zone_of(&call.target), Some(&zone(1)));
    assert_eq!(call.pieces.len(), 16);
}

#[test]
fn set_whose_zone_is_busy_goes_elsewhere_after_the_locality_wait() {
    // A full call takes 278 ms. The targets of the preferred zone are busy, those
    // of the other zones are free.
    for (targets, zones, locality_wait) in [(4, 4, 278), (8, 4, 278), (16, 4, 139)] {
        let mut queue = StageQueue::new(SERVICE);
        let each = |number: usize| (target(number), zone(number % zones), 1);
        queue.set_targets((0..targets).map(each));
        let for_zone = StageSet {
            preferred_zone: Some(zone(2)),
            ..set(at(0), 2_000, 9_000)
        };
        let in_zone = targets / zones;
        for _ in 0..in_zone {
            // One full call occupies each target of the zone.
            let full = StageSet {
                pieces: 44,
                ..for_zone.clone()
            };
            queue.offer(full, at(0)).expect("the set is accepted");
            let call = queue.plan(at(0)).expect("a call");
            assert_eq!(queue.zone_of(&call.target), Some(&zone(2)));
        }
        let now = at(100);
        queue.offer(for_zone, now).expect("the set is accepted");
        let later = |span: u64| now + TimeSpan::from_millis(span);
        assert_eq!(
            queue.plan(later(locality_wait - 5)),
            None,
            "{targets} targets"
        );
        let call = queue.plan(later(locality_wait + 5)).expect("a call");
        assert_ne!(queue.zone_of(&call.target), Some(&zone(2)));
    }
}

#[test]
fn set_whose_zone_has_no_target_does_not_wait_for_one() {
    let mut queue = queue(SERVICE, 1);
    let for_zone = StageSet {
        preferred_zone: Some(zone(2)),
        ..set(at(0), 2_000, 9_000)
    };
    queue.offer(for_zone, at(0)).expect("the set is accepted");
    assert!(queue.plan(at(0)).is_some());
}

#[test]
fn most_large_results_are_produced_in_their_zone_even_if_it_has_one_target() {
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
    let mut preferred_zones = BTreeMap::new();
    let mut running: Vec<(u64, StageCall)> = Vec::new();
    let (mut produced, mut remote, mut late) = (0, 0, 0);
    for now in 0..60_000 {
        let (finished, still_running) = running.into_iter().partition(|(end, _)| *end <= now);
        running = still_running;
        for (_, call) in finished {
            let answer = results(&call);
            for end in queue.finish(call.number, answer, at(now)) {
                let names = end.outcome.expect("the set succeeds");
                queue.free(&names);
            }
        }
        // Three tenths of the capacity of full calls.
        if rng.f64() < 0.014 {
            let preferred_zone = zone(rng.usize(..4));
            let wanted = StageSet {
                pieces: rng.u32(1..=4),
                piece_bytes: 3_000_000,
                preferred_zone: Some(preferred_zone.clone()),
                ..set(at(now), 850, 8_000)
            };
            preferred_zones.insert(
                queue.offer(wanted, at(now)).expect("the set is accepted"),
                preferred_zone,
            );
        }
        while let Some(call) = queue.plan(at(now)) {
            let zone = queue.zone_of(&call.target).expect("a zone");
            produced += call.pieces.len();
            let in_other_zone = call
                .pieces
                .iter()
                .filter(|piece| preferred_zones[&piece.set] != *zone);
            remote += in_other_zone.count();
            let took =
                SERVICE.call_ms + 16.0 * f64::from(u32::try_from(call.pieces.len()).expect("few"));
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let end = now + took as u64;
            late += call
                .pieces
                .iter()
                .filter(|piece| at(end) + TimeSpan::from_millis(7_150) > at(now) + piece.time_left)
                .count();
            running.push((end, call));
        }
    }
    assert!(produced > 1_500, "{produced}");
    assert!(late * 100 <= produced, "{late} of {produced} are late");
    assert!(
        remote * 10 <= produced,
        "{remote} of {produced} are produced in another zone"
    );
}
