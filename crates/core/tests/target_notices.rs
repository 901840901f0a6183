//! What targets announce in responses: that they are leaving, and how long they
//! want no requests.

mod target_fixture;

use std::sync::Arc;

use target_fixture::{at, record};
use verbenahub_core::{
    clock::TimeSpan,
    policy::retry::AttemptBudget,
    targets::{LeavingTargets, RetryAfter, TargetCriteria, TargetLoads, TargetRecord},
};

fn ms(millis: u64) -> TimeSpan {
    TimeSpan::from_millis(millis)
}

#[test]
fn retry_after_accepts_only_a_number_of_seconds() {
    let day = 24 * 60 * 60 * 1_000;
    for (text, millis) in [
        ("1", Some(1_000)),
        (" 2.5 ", Some(2_500)),
        (".25", Some(250)),
        ("0", Some(0)),
        ("0.0001", Some(1)),
        ("86400", Some(day)),
        ("99999999999999999999", Some(day)),
        ("-1", None),
        ("1e9", None),
        ("inf", None),
        ("NaN", None),
        ("", None),
        ("soon", None),
        ("1.2.3", None),
        ("Fri, 04 Dec 2026 10:00:00 GMT", None),
    ] {
        let parsed = text.parse::<RetryAfter>();
        assert_eq!(
            parsed
                .ok()
                .map(|retry_after| retry_after.duration().as_millis()),
            millis,
            "{text:?}"
        );
    }
}

#[test]
fn target_in_backoff_is_skipped_until_the_backoff_ends_or_it_restarts() {
    let targets = [record("t0", Some(1)), record("t1", Some(1))];
    let mut loads = TargetLoads::default();
    loads.set_backoff(&targets[0], at(2_000));
    loads.set_backoff(&targets[0], at(1_500));
    let chosen = |loads: &TargetLoads, targets: &[Arc<TargetRecord>], now| {
        let criteria = TargetCriteria {
            now,
            tried: &[],
            zone: None,
            affinity: Some(7),
            seed: 3,
        };
        loads
            .choose(targets, &criteria)
            .map(|record| record.id.to_string())
    };
    assert_eq!(chosen(&loads, &targets[..1], at(1_999)), None);
    assert_eq!(
        chosen(&loads, &targets[..1], at(2_000)).as_deref(),
        Some("t0")
    );
    assert_eq!(chosen(&loads, &targets, at(0)).as_deref(), Some("t1"));
    assert_eq!(loads.shortest_backoff(&targets, at(500)), None);
    loads.set_backoff(&targets[1], at(1_000));
    assert_eq!(loads.shortest_backoff(&targets, at(500)), Some(ms(500)));
    let restarted = [record("t0", Some(2))];
    assert_eq!(chosen(&loads, &restarted, at(0)).as_deref(), Some("t0"));
}

#[test]
fn leaving_notice_concerns_one_run_and_keeps_its_age_between_nodes() {
    let mut first = LeavingTargets::default();
    let old = record("t0", Some(1));
    assert!(first.insert(&old.id, old.started_at, TimeSpan::ZERO, at(1_000)));
    assert!(!first.insert(&old.id, old.started_at, TimeSpan::ZERO, at(1_100)));
    let notices = first.notices(at(5_000));
    assert_eq!(notices[0].age, ms(4_000));
    let mut second = LeavingTargets::default();
    assert_eq!(second.merge(notices, at(70_000)), vec![old.id.clone()]);
    assert!(second.contains(&old) && !second.contains(&record("t0", Some(2))));
    assert!(!second.contains(&record("t1", Some(1))));
    // A notice expires by its age even if nodes pass it on.
    assert!(second.notices(at(70_000 + 116_000)).is_empty());
    let last = first.notices(at(1_000 + 119_999));
    assert_eq!(last.len(), 1);
    assert!(first.notices(at(1_000 + 120_000)).is_empty());
}

#[test]
fn reserve_of_extra_attempts_shrinks_as_more_nodes_share_it() {
    let budget = AttemptBudget::new(200, 50);
    budget.set_reserve(2);
    let spent = (0..10).filter(|_| budget.try_spend()).count();
    assert_eq!(spent, 2);
    assert!(!budget.has_spare());
    for _ in 0..100 {
        budget.earn();
    }
    let spent = (0..10).filter(|_| budget.try_spend()).count();
    assert_eq!(spent, 2);
}
