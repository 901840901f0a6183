//! Limits on the rate of requests that targets name in responses.

mod target_fixture;

use target_fixture::{at, record};
use verbenahub_core::{
    clock::TimeSpan,
    targets::{RequestLimit, ReturnSchedule, TargetLimits},
};

fn limit(text: &str) -> RequestLimit {
    text.parse().expect("a valid limit")
}

#[test]
fn limit_is_a_plain_decimal_number() {
    for (text, rate) in [
        ("1.7", Some(1.7)),
        (" 12 ", Some(12.0)),
        (".5", Some(0.5)),
        ("0", Some(0.0)),
        ("-1", None),
        ("1e9", None),
        ("inf", None),
        ("NaN", None),
        ("1.2.3", None),
        ("1,5", None),
        ("", None),
        ("many", None),
    ] {
        let parsed = text.parse::<RequestLimit>().ok();
        let parsed = parsed.map(|limit| limit.rate().as_per_second());
        assert_eq!(parsed, rate, "{text:?}");
    }
}

#[test]
fn rejected_callers_come_back_one_after_the_other() {
    let mut schedule = ReturnSchedule::default();
    let rate = limit("10").rate();
    let mut assign = |time_left: u64, now: u64| {
        let time_left = TimeSpan::from_millis(time_left);
        let least = TimeSpan::from_millis(200);
        schedule.assign(rate, least, time_left, at(now)).as_millis()
    };
    assert_eq!(assign(1_000, 0), 200);
    assert_eq!(assign(1_000, 0), 300);
    // This caller will have left by then and needs no turn.
    assert_eq!(assign(350, 10), 390);
    assert_eq!(assign(1_000, 10), 390);
    assert_eq!(assign(1_000, 10), 490);
    // Turns that have passed are over.
    assert_eq!(assign(1_000, 5_000), 200);
}

#[test]
fn limit_concerns_one_run_of_a_target() {
    let mut limits = TargetLimits::default();
    let (run, later) = (record("t1", Some(1)), record("t1", Some(2)));
    assert!(limits.record_named(&run, limit("2"), at(100)));
    assert!(!limits.record_named(&run, limit("2"), at(200)));
    assert!(limits.record_named(&run, limit("3"), at(300)));
    let known = limits.limit_of(&run, at(350));
    assert_eq!(
        known.map(|(limit, age)| (limit, age.as_millis())),
        Some((limit("3"), 50))
    );
    assert_eq!(limits.limit_of(&later, at(350)), None);
    assert_eq!(limits.limited_count(), 1);
}

#[test]
fn response_to_an_earlier_request_does_not_withdraw_a_limit() {
    let mut limits = TargetLimits::default();
    let run = record("t1", Some(1));
    assert!(!limits.record_unnamed(&run, at(50), at(60)));
    limits.record_named(&run, limit("2"), at(100));
    assert!(!limits.record_unnamed(&run, at(90), at(120)));
    assert!(limits.limit_of(&run, at(130)).is_some());
    assert!(limits.record_unnamed(&run, at(130), at(150)));
    assert_eq!(limits.limit_of(&run, at(160)), None);
    assert!(!limits.record_unnamed(&run, at(170), at(180)));
}
