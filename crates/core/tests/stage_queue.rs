//! A stage's queue under peak load: bursts above the capacity of calls with one
//! request each, the order of sets, and refused and shed sets.

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

/// Counts from a replayed load.
#[derive(Debug, Default)]
struct ReplayResult {
    on_time: usize,
    late: usize,
    refused: usize,
    failed: usize,
    calls: usize,
    pieces: usize,
}

/// Replays arrivals, given in milliseconds, on targets whose calls take the
/// published time. `batch` is the limit of pieces per call; 8 allows one request
/// per call.
fn replay(arrivals: &[u64], batch: usize, goal_ms: u64, deadline_ms: u64) -> ReplayResult {
    let mut queue = queue(StageService { batch, ..SERVICE }, TARGETS);
    let mut result = ReplayResult::default();
    let mut goals: BTreeMap<SetNumber, ClockTime> = BTreeMap::new();
    let mut running: Vec<(ClockTime, StageCall)> = Vec::new();
    let last = arrivals.last().copied().unwrap_or_default() + deadline_ms + 1_000;
    let mut next = arrivals.iter().peekable();
    for millis in 0..last {
        let now = at(millis);
        while next.next_if(|arrival| **arrival <= millis).is_some() {
            let set = set(now, goal_ms, deadline_ms);
            match queue.offer(set.clone(), now) {
                Ok(number) => drop(goals.insert(number, set.goal_at)),
                Err(_) => result.refused += 1,
            }
        }
        let (done, still_running): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|call| call.0 <= now);
        running = still_running;
        let finished = done.into_iter().flat_map(|(_, call)| {
            let answer = results(&call);
            queue.finish(call.number, answer, now)
        });
        let finished: Vec<_> = finished.collect();
        for set in finished.into_iter().chain(queue.shed(now)) {
            match set.outcome {
                Ok(_) if goals[&set.set] >= now => result.on_time += 1,
                Ok(_) => result.late += 1,
                Err(_) => result.failed += 1,
            }
        }
        while let Some(call) = queue.plan(now) {
            result.calls += 1;
            result.pieces += call.pieces.len();
            let took = SERVICE.call_time(call.pieces.len()).ceil();
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let ends_at = now + TimeSpan::from_millis(took as u64);
            running.push((ends_at, call));
        }
    }
    result
}

/// Arrival times in milliseconds, uniformly random with a fixed seed.
fn arrivals(per_second: u64, seconds: u64) -> Vec<u64> {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut times: Vec<u64> = (0..per_second * seconds)
        .map(|_| rng.u64(0..seconds * 1_000))
        .collect();
    times.sort_unstable();
    times
}

#[test]
fn shared_calls_serve_a_load_that_single_request_calls_cannot() {
    let load = arrivals(51, 10);
    let shared = replay(&load, SERVICE.batch, 800, 4_000);
    let single = replay(&load, 8, 800, 4_000);
    assert_eq!(shared.on_time, load.len());
    // Five targets complete 28.9 such calls per second, the last ones 4 s after
    // the load ends.
    assert!(single.on_time + single.late <= 29 * 14, "{single:?}");
    assert!(single.on_time + single.late < load.len() * 8 / 10);
}

#[test]
fn burst_near_capacity_is_served_on_time_for_the_most_part() {
    // 90 requests per second are nine tenths of the capacity of full calls.
    let load = arrivals(90, 6);
    let result = replay(&load, SERVICE.batch, 1_000, 4_000);
    assert!(result.on_time * 100 >= load.len() * 95, "{result:?}");
    assert_eq!(result.failed, 0, "{result:?}");
}

#[test]
fn burst_above_capacity_serves_what_can_be_on_time_and_ends_the_rest() {
    let load = arrivals(150, 6);
    let result = replay(&load, SERVICE.batch, 1_000, 4_000);
    let total = result.on_time + result.late + result.refused + result.failed;
    assert_eq!(total, load.len(), "{result:?}");
    // Full calls serve about 99 requests per second.
    assert!(result.on_time >= 6 * 70, "{result:?}");
    // Calls are nearly full, including those before and after the burst.
    assert!(
        result.pieces >= result.calls * SERVICE.batch * 8 / 10,
        "{result:?}"
    );
}

#[test]
fn overload_makes_few_sets_late_and_not_all_of_them() {
    // Twice the capacity of full calls for three seconds. Served only in the
    // order of goals, each set would finish just after its goal.
    let load = arrivals(200, 3);
    let result = replay(&load, SERVICE.batch, 700, 4_000);
    // Full calls serve 99 requests per second; nine tenths of these are on time.
    assert!(result.on_time >= 3 * 99 * 9 / 10, "{result:?}");
}

#[test]
fn normal_load_after_an_overload_is_on_time_again() {
    // Three seconds at twice the capacity, then six seconds at half of it.
    let mut load = arrivals(200, 3);
    load.extend(arrivals(50, 6).iter().map(|time| 4_000 + time));
    let both = replay(&load, SERVICE.batch, 700, 6_000);
    let alone = replay(&load[..600], SERVICE.batch, 700, 6_000);
    let normal = both.on_time - alone.on_time.min(both.on_time);
    assert!(normal * 100 >= 300 * 95, "{normal} of 300: {both:?}");
}

#[test]
fn late_sets_are_shed_at_once_when_more_wait_than_will_be_served() {
    let mut queue = queue(SERVICE, 1);
    let now = at(1_000);
    // Far more than one target can serve before the deadline.
    let late: Vec<_> = (0..200)
        .map(|_| queue.offer(set(now, 10, 4_000), now))
        .collect();
    let accepted = late.iter().flatten().count();
    let ends = queue.shed(now);
    assert!(!ends.is_empty(), "{accepted} accepted");
    for end in ends {
        assert_matches!(
            end.outcome,
            Err(SetFailure::Crowded { retry_after }) if !retry_after.is_zero()
        );
    }
    assert!(queue.waiting_pieces() > 0, "some are kept");
    assert!(queue.shed(now).is_empty(), "the others can be served");
}

#[test]
fn backlog_includes_measured_call_times_but_not_waits_of_sets_without_room() {
    let mut queue = queue(SERVICE, 1);
    let mut now = at(1_000);
    // Calls take 1.5 times as long as published.
    for _ in 0..40 {
        queue
            .offer(set(now, 900, 9_000), now)
            .expect("the set is accepted");
        let call = queue.plan(now).expect("a call");
        let took = SERVICE.call_time(call.pieces.len()) * 1.5;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let took = TimeSpan::from_millis(took as u64);
        now = now + took;
        queue.finish(call.number, results(&call), now);
    }
    // One set waits because its results do not fit; small sets would not wait.
    let large = StageSet {
        piece_bytes: 100_000_000,
        ..set(now, 5_000, 9_000)
    };
    queue.offer(large, now).expect("the set is accepted");
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
    let late = queue
        .offer(set(now, 10, 9_000), now)
        .expect("the set is accepted");
    let on_time: Vec<SetNumber> = (0..5)
        .map(|_| {
            queue
                .offer(set(now, 900, 9_000), now)
                .expect("the set is accepted")
        })
        .collect();
    let call = queue.plan(now).expect("a call");
    let called: BTreeSet<SetNumber> = call.pieces.iter().map(|piece| piece.set).collect();
    assert!(on_time.iter().all(|number| called.contains(number)));
    assert!(!called.contains(&late));
}

#[test]
fn late_set_waits_while_downstream_stages_have_a_backlog() {
    let next = PoolName::new("billing").expect("a name");
    let mut queue = queue(SERVICE, TARGETS);
    let now = at(1_000);
    let late = StageSet {
        downstream: vec![next.clone()],
        ..set(now, 10, 9_000)
    };
    queue.set_backlogged(BTreeSet::from([next]));
    queue.offer(late.clone(), now).expect("the set is accepted");
    assert_eq!(queue.plan(now), None);
    // A set of a started request holds results of earlier stages and continues.
    let started = StageSet {
        refusable: false,
        movable: true,
        ..late
    };
    let started = queue.offer(started, now).expect("the set is accepted");
    let call = queue.plan(now).expect("a call");
    assert!(call.pieces.iter().all(|piece| piece.set == started));
    queue.set_backlogged(BTreeSet::new());
    assert!(queue.plan(now + TimeSpan::from_secs(1)).is_some());
}

#[test]
fn higher_priority_goes_first_in_a_burst() {
    let mut queue = queue(SERVICE, 1);
    let now = at(1_000);
    for _ in 0..6 {
        let low = StageSet {
            priority: 2,
            ..set(now, 900, 9_000)
        };
        queue.offer(low, now).expect("the set is accepted");
    }
    let high = queue
        .offer(set(now, 1_000, 9_000), now)
        .expect("the set is accepted");
    let call = queue.plan(now).expect("a call");
    assert_eq!(call.pieces[0].set, high);
}

#[test]
fn set_without_time_is_refused_at_once_with_a_retry_time() {
    let mut queue = queue(SERVICE, 1);
    let now = at(1_000);
    while queue.offer(set(now, 500, 3_000), now).is_ok() {}
    let refusal = queue.offer(set(now, 500, 3_000), now);
    assert_matches!(refusal, Err(refusal) if !refusal.retry_after.is_zero());
    // A set of a started request is accepted nevertheless.
    let started = StageSet {
        refusable: false,
        movable: true,
        ..set(now, 500, 3_000)
    };
    assert!(queue.offer(started, now).is_ok());
}

#[test]
fn retry_time_of_a_shed_set_is_bounded() {
    let mut queue = queue(SERVICE, 1);
    let mut longest = TimeSpan::ZERO;
    let mut shed_sets = 0;
    // Four times what one target serves, for three seconds.
    for millis in (0..3_000).step_by(10) {
        let now = at(millis);
        // A set refused on arrival ends at once and is not counted.
        let _ = queue.offer(set(now, 900, 8_000), now);
        for end in queue.shed(now) {
            if let Err(SetFailure::Crowded { retry_after }) = end.outcome {
                longest = longest.max(retry_after);
                shed_sets += 1;
            }
        }
        let _ = queue.plan(now);
    }
    assert!(shed_sets > 50, "{shed_sets}");
    assert!(longest <= TimeSpan::from_secs(8), "{longest}");
}
