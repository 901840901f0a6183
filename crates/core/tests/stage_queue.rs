//! The queue of a stage at the worst load: bursts above what calls of one
//! request each could carry, which sets go first, and what is turned away.

mod stage_fixture;

use std::collections::{BTreeMap, BTreeSet};

use self::stage_fixture::{SERVICE, TARGETS, at, queue, results, set};
use assert_matches::assert_matches;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::PoolName,
    routes::StageService,
    staging::{SetFailure, SetNumber, StageCall, StageSet},
};

/// What a replayed load came to.
#[derive(Debug, Default)]
struct ReplayEnd {
    on_time: usize,
    late: usize,
    refused: usize,
    failed: usize,
    calls: usize,
    pieces: usize,
}

/// Replays arrivals, in milliseconds, on targets that take the published time.
/// `batch` bounds a call; 8 is one request a call.
fn replay(arrivals: &[u64], batch: usize, goal_ms: u64, dead_ms: u64) -> ReplayEnd {
    let mut queue = queue(StageService { batch, ..SERVICE }, TARGETS);
    let mut end = ReplayEnd::default();
    let mut goals: BTreeMap<SetNumber, ClockTime> = BTreeMap::new();
    let mut running: Vec<(ClockTime, StageCall)> = Vec::new();
    let last = arrivals.last().copied().unwrap_or_default() + dead_ms + 1_000;
    let mut next = arrivals.iter().peekable();
    for millis in 0..last {
        let now = at(millis);
        while next.next_if(|arrival| **arrival <= millis).is_some() {
            let set = set(now, goal_ms, dead_ms);
            match queue.offer(set.clone(), now) {
                Ok(number) => drop(goals.insert(number, set.goal_at)),
                Err(_) => end.refused += 1,
            }
        }
        let (done, going): (Vec<_>, Vec<_>) = running.into_iter().partition(|call| call.0 <= now);
        running = going;
        let finished = done.into_iter().flat_map(|(_, call)| {
            let answer = results(&call);
            queue.finish(call.number, answer, now)
        });
        let finished: Vec<_> = finished.collect();
        for set in finished.into_iter().chain(queue.shed(now)) {
            match set.outcome {
                Ok(_) if goals[&set.set] >= now => end.on_time += 1,
                Ok(_) => end.late += 1,
                Err(_) => end.failed += 1,
            }
        }
        while let Some(call) = queue.plan(now) {
            end.calls += 1;
            end.pieces += call.pieces.len();
            let took = SERVICE.call_time(call.pieces.len()).ceil();
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let ends = now + TimeSpan::from_millis(took as u64);
            running.push((ends, call));
        }
    }
    end
}

/// Arrivals at a rate for some seconds, evenly jittered by a fixed generator.
fn arrivals(per_second: u64, seconds: u64) -> Vec<u64> {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut times: Vec<u64> = (0..per_second * seconds)
        .map(|_| rng.u64(0..seconds * 1_000))
        .collect();
    times.sort_unstable();
    times
}

#[test]
fn shared_calls_carry_a_calm_day_that_single_ones_cannot() {
    let load = arrivals(51, 10);
    let shared = replay(&load, SERVICE.batch, 800, 4_000);
    let single = replay(&load, 8, 800, 4_000);
    assert_eq!(shared.on_time, load.len());
    // Five targets end 28.9 such calls a second; the last ones 4 s after the
    // load.
    assert!(single.on_time + single.late <= 29 * 14, "{single:?}");
    assert!(single.on_time + single.late < load.len() * 8 / 10);
}

#[test]
fn burst_near_capacity_is_served_on_time_for_the_most_part() {
    // 90 requests a second are nine tenths of what full calls can carry.
    let load = arrivals(90, 6);
    let end = replay(&load, SERVICE.batch, 1_000, 4_000);
    assert!(end.on_time * 100 >= load.len() * 95, "{end:?}");
    assert_eq!(end.failed, 0, "{end:?}");
}

#[test]
fn burst_above_capacity_serves_what_can_be_on_time_and_ends_the_rest() {
    let load = arrivals(150, 6);
    let end = replay(&load, SERVICE.batch, 1_000, 4_000);
    let total = end.on_time + end.late + end.refused + end.failed;
    assert_eq!(total, load.len(), "{end:?}");
    // Full calls carry about 99 requests a second.
    assert!(end.on_time >= 6 * 70, "{end:?}");
    // Calls are nearly full, those before and after the burst included.
    assert!(end.pieces >= end.calls * SERVICE.batch * 8 / 10, "{end:?}");
}

#[test]
fn overload_makes_few_sets_late_and_not_all_of_them() {
    // Twice what full calls carry, for three seconds. In the order of goals
    // alone each would be done just after its goal.
    let load = arrivals(200, 3);
    let end = replay(&load, SERVICE.batch, 700, 4_000);
    // Full calls carry 99 requests a second; nine tenths of them in time.
    assert!(end.on_time >= 3 * 99 * 9 / 10, "{end:?}");
}

#[test]
fn calm_load_after_an_overload_is_on_time_again() {
    // Three seconds of twice the capacity, then six seconds at half of it.
    let mut load = arrivals(200, 3);
    load.extend(arrivals(50, 6).iter().map(|time| 4_000 + time));
    let both = replay(&load, SERVICE.batch, 700, 6_000);
    let alone = replay(&load[..600], SERVICE.batch, 700, 6_000);
    let calm = both.on_time - alone.on_time.min(both.on_time);
    assert!(calm * 100 >= 300 * 95, "{calm} of 300: {both:?}");
}

#[test]
fn late_sets_end_at_once_when_more_wait_than_will_be_served() {
    let mut queue = queue(SERVICE, 1);
    let now = at(1_000);
    // Far more than one target serves within the deadline beside others.
    let late: Vec<_> = (0..200)
        .map(|_| queue.offer(set(now, 10, 4_000), now))
        .collect();
    let taken = late.iter().flatten().count();
    let ends = queue.shed(now);
    assert!(!ends.is_empty(), "{taken} taken");
    for end in ends {
        assert_matches!(
            end.outcome,
            Err(SetFailure::Crowded { retry_after }) if !retry_after.is_zero()
        );
    }
    assert!(queue.waiting_pieces() > 0, "some are kept");
    assert!(queue.shed(now).is_empty(), "the others have time");
}

#[test]
fn backlog_tells_how_long_calls_are_and_not_what_large_sets_wait_for() {
    let mut queue = queue(SERVICE, 1);
    let mut now = at(1_000);
    // Calls take half again as long as published.
    for _ in 0..40 {
        queue.offer(set(now, 900, 9_000), now).expect("time");
        let call = queue.plan(now).expect("a call");
        let took = SERVICE.call_time(call.pieces.len()) * 1.5;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let took = TimeSpan::from_millis(took as u64);
        now = now + took;
        queue.finish(call.number, results(&call), now);
    }
    // One set finds no room and waits; small ones don't.
    let large = StageSet {
        piece_bytes: 100_000_000,
        ..set(now, 5_000, 9_000)
    };
    queue.offer(large, now).expect("time");
    let later = now + TimeSpan::from_millis(800);
    assert_eq!(queue.plan(later), None);
    let backlog = queue.backlog(later);
    let published = SERVICE.call_time(8);
    assert!(backlog.call.as_secs_f64() * 1_000.0 > published * 1.4);
    assert!(backlog.on_time < TimeSpan::from_millis(400), "{backlog:?}");
}

#[test]
fn sets_that_can_be_on_time_go_before_late_ones() {
    let mut queue = queue(SERVICE, 1);
    let now = at(1_000);
    let late = queue.offer(set(now, 10, 9_000), now).expect("time");
    let on_time: Vec<SetNumber> = (0..5)
        .map(|_| queue.offer(set(now, 900, 9_000), now).expect("time"))
        .collect();
    let call = queue.plan(now).expect("a call");
    let called: BTreeSet<SetNumber> = call.pieces.iter().map(|piece| piece.set).collect();
    assert!(on_time.iter().all(|number| called.contains(number)));
    assert!(!called.contains(&late));
}

#[test]
fn late_set_waits_until_the_stages_after_it_are_clear() {
    let next = PoolName::new("billing").expect("a name");
    let mut queue = queue(SERVICE, TARGETS);
    let now = at(1_000);
    let late = StageSet {
        downstream: vec![next.clone()],
        ..set(now, 10, 9_000)
    };
    queue.set_backlogged(BTreeSet::from([next]));
    queue.offer(late.clone(), now).expect("time");
    assert_eq!(queue.plan(now), None);
    // One that has begun holds results elsewhere and goes on.
    let begun = StageSet {
        refusable: false,
        movable: true,
        ..late
    };
    let begun = queue.offer(begun, now).expect("time");
    let call = queue.plan(now).expect("a call");
    assert!(call.pieces.iter().all(|piece| piece.set == begun));
    queue.set_backlogged(BTreeSet::new());
    assert!(queue.plan(now + TimeSpan::from_secs(1)).is_some());
}

#[test]
fn higher_rank_goes_first_in_a_burst() {
    let mut queue = queue(SERVICE, 1);
    let now = at(1_000);
    for _ in 0..6 {
        let low = StageSet {
            priority: 2,
            ..set(now, 900, 9_000)
        };
        queue.offer(low, now).expect("time");
    }
    let high = queue.offer(set(now, 1_000, 9_000), now).expect("time");
    let call = queue.plan(now).expect("a call");
    assert_eq!(call.pieces[0].set, high);
}

#[test]
fn set_without_time_is_refused_at_once_with_a_time_to_come_back() {
    let mut queue = queue(SERVICE, 1);
    let now = at(1_000);
    while queue.offer(set(now, 500, 3_000), now).is_ok() {}
    let refusal = queue.offer(set(now, 500, 3_000), now);
    assert_matches!(refusal, Err(refusal) if !refusal.retry_after.is_zero());
    // What has begun elsewhere is taken all the same.
    let begun = StageSet {
        refusable: false,
        movable: true,
        ..set(now, 500, 3_000)
    };
    assert!(queue.offer(begun, now).is_ok());
}

#[test]
fn caller_that_is_turned_away_is_told_a_time_that_can_come() {
    let mut queue = queue(SERVICE, 1);
    let mut longest = TimeSpan::ZERO;
    let mut turned_away = 0;
    // Four times what one target serves, for three seconds.
    for millis in (0..3_000).step_by(10) {
        let now = at(millis);
        // One that can't be placed is told so at once.
        let _ = queue.offer(set(now, 900, 8_000), now);
        for end in queue.shed(now) {
            if let Err(SetFailure::Crowded { retry_after }) = end.outcome {
                longest = longest.max(retry_after);
                turned_away += 1;
            }
        }
        let _ = queue.plan(now);
    }
    assert!(turned_away > 50, "{turned_away}");
    assert!(longest <= TimeSpan::from_secs(8), "{longest}");
}
