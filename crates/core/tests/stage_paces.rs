//! Stage targets that have named limits: how often a queue calls them, and what it
//! expects of them.

mod stage_fixture;

use std::collections::BTreeMap;

use stage_fixture::{SERVICE, at, queue, results, set, target};
use verbenahub_core::{
    clock::TimeSpan,
    ids::TargetId,
    staging::{CallEnd, StageQueue, TargetPace},
    units::RateLimit,
};

/// The pace of all targets of a queue.
fn paces(targets: usize, calls_per_second: f64, open_at: u64) -> BTreeMap<TargetId, TargetPace> {
    let pace = TargetPace {
        rate: RateLimit::per_second(calls_per_second).expect("a valid rate"),
        open_at: at(open_at),
    };
    (0..targets).map(|number| (target(number), pace)).collect()
}

fn offer(queue: &mut StageQueue, now: u64, dead_ms: u64) -> bool {
    queue.offer(set(at(now), 300, dead_ms), at(now)).is_ok()
}

#[test]
fn limited_target_is_not_called_before_its_next_permit() {
    let mut queue = queue(SERVICE, 1);
    queue.set_paces(&paces(1, 1.0, 700));
    assert!(offer(&mut queue, 0, 9_000));
    assert_eq!(queue.next_wakeup(at(0)), Some(at(700)));
    for millis in (0..700).step_by(50) {
        assert!(queue.plan(at(millis)).is_none(), "after {millis} ms");
    }
    assert!(queue.plan(at(700)).is_some());
}

#[test]
fn free_target_is_called_while_a_limited_one_waits_for_a_permit() {
    let mut queue = queue(SERVICE, 2);
    let mut only_first = paces(1, 1.0, 5_000);
    queue.set_paces(&only_first);
    assert!(offer(&mut queue, 0, 9_000));
    let call = queue.plan(at(0)).expect("a call");
    assert_eq!(call.target, target(1));
    only_first.clear();
    queue.set_paces(&only_first);
    assert!(offer(&mut queue, 200, 9_000));
    let call = queue.plan(at(200)).expect("a call");
    assert_eq!(call.target, target(0));
}

#[test]
fn sets_that_limited_targets_cannot_finish_in_time_are_refused_at_once() {
    // Until the deadline in 2 s the limits allow five calls, and one is under way. Each
    // carries 44 pieces, of eight a set.
    let most_limited = 6 * 44 / 8;
    for (is_limited, most) in [(false, 60), (true, most_limited)] {
        let mut queue = queue(SERVICE, 5);
        if is_limited {
            queue.set_paces(&paces(5, 0.5, 400));
        }
        let accepted = (0..60).filter(|_| offer(&mut queue, 0, 2_000)).count();
        assert!(
            accepted > 0 && accepted <= most,
            "{accepted} of {most} sets"
        );
        assert!(is_limited || accepted == most, "{accepted} of {most} sets");
    }
}

#[test]
fn call_beyond_a_limit_costs_its_sets_no_retry() {
    let mut queue = queue(SERVICE, 1);
    assert!(offer(&mut queue, 0, 9_000));
    for round in 0..10 {
        let now = at(round * 300);
        let call = queue.plan(now).expect("a call");
        let retry_after = TimeSpan::from_millis(300);
        let over_limit = CallEnd::OverLimit { retry_after };
        assert!(queue.finish(call.number, over_limit, now).is_empty());
        assert!(queue.plan(at(round * 300 + 299)).is_none());
    }
    let call = queue.plan(at(3_000)).expect("a call");
    let done = queue.finish(call.number, results(&call), at(3_200));
    assert!(done.first().is_some_and(|end| end.outcome.is_ok()));
}
