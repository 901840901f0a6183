//! Retries, hedges, quantile estimates, stall detection and ejection of targets.

use assert_matches::assert_matches;
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    policy::{
        QuantileSketch,
        health::{
            CallOutcome, HealthRule, ProgressAction, ProgressRule, ProgressWatch, TargetHealth,
        },
        retry::{
            CallFailure, FailedAttempt, GiveUpReason, HedgeRule, RetryBudget, RetryDecision,
            RetryRule,
        },
    },
};

const SECOND: TimeSpan = TimeSpan::from_secs(1);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn failure() -> impl Strategy<Value = CallFailure> {
    prop_oneof![
        Just(CallFailure::NotSent),
        Just(CallFailure::Refused {
            retry_after: SECOND
        }),
        Just(CallFailure::BadInput),
        Just(CallFailure::TargetFailed),
        Just(CallFailure::ConnectionLost),
        Just(CallFailure::Stalled),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn extra_attempts_keep_to_their_share(
        per_mille in 0_u32..500,
        reserve in 0_u32..20,
        spends in prop::collection::vec(any::<bool>(), 1..2_000),
    ) {
        let budget = RetryBudget::new(per_mille, reserve);
        let mut earned = 0_u64;
        let mut spent = 0_u64;
        for spend in spends {
            if spend {
                spent += u64::from(budget.try_spend());
            } else {
                budget.earn();
                earned += 1;
            }
            prop_assert!(spent * 1_000 <= earned * u64::from(per_mille) + u64::from(reserve) * 1_000);
        }
    }

    #[test]
    fn non_idempotent_call_is_retried_only_if_it_has_not_run(
        failure in failure(),
        attempts in 1_u32..5,
        remaining in 0_u64..5_000,
        seed in any::<u64>(),
    ) {
        let attempt = FailedAttempt {
            idempotent: false,
            failure,
            attempts,
            remaining: TimeSpan::from_millis(remaining),
            needed: TimeSpan::from_millis(100),
            seed,
        };
        let budget = RetryBudget::new(100, 10);
        if let RetryDecision::Retry { after } = RetryRule::default().decide(&attempt, &budget) {
            prop_assert!(failure.is_not_run());
            prop_assert!(after + attempt.needed <= attempt.remaining);
            prop_assert!(attempts < RetryRule::default().attempt_limit);
        }
    }

    #[test]
    fn quantile_is_close(spans in prop::collection::vec(1_u64..60_000, 1..300), share in 0.01_f64..1.0) {
        let sketch = QuantileSketch::default();
        for span in &spans {
            sketch.record(TimeSpan::from_millis(*span));
        }
        let mut sorted = spans.clone();
        sorted.sort_unstable();
        let rank = (share * f64::from(u32::try_from(sorted.len()).unwrap())).ceil();
        let index = (0..sorted.len()).find(|index| f64::from(u32::try_from(*index).unwrap()) + 1.0 >= rank);
        let exact = TimeSpan::from_millis(sorted[index.unwrap()]);
        let estimate = sketch.quantile(share).unwrap();
        prop_assert!(estimate + TimeSpan::from_millis(1) >= exact);
        prop_assert!(estimate.as_millis() * 100 <= exact.as_millis() * 120 + 100);
    }

    #[test]
    fn silence_is_probed_once_and_then_abandoned(gap in 1_u64..400, steps in 1_u64..50) {
        let rule = ProgressRule::default();
        let gap = TimeSpan::from_millis(gap);
        let mut now = ClockTime::from_millis(1_000);
        let mut watch = ProgressWatch::new(rule, Some(gap), now);
        // A call that progresses in the learned time is never abandoned.
        for _ in 0..steps {
            now = now + gap;
            prop_assert_ne!(watch.poll(now), ProgressAction::Abandon);
            watch.note_progress(Some(gap), now);
        }
        let silent_since = now;
        let mut probes = 0;
        while watch.poll(now) != ProgressAction::Abandon {
            match watch.poll(now) {
                ProgressAction::Probe => probes += 1,
                ProgressAction::WaitUntil(next) => prop_assert!(next > now),
                ProgressAction::Abandon => {}
            }
            now = now + TimeSpan::from_millis(1);
        }
        prop_assert!(probes <= 1);
        prop_assert!(now.since(silent_since) <= rule.longest * 2);
    }
}

#[test]
fn budget_bounds_retries_of_a_failing_pool() {
    let budget = RetryBudget::new(100, 10);
    let rule = RetryRule::default();
    let attempt = FailedAttempt {
        idempotent: true,
        failure: CallFailure::TargetFailed,
        attempts: 1,
        remaining: TimeSpan::from_secs(4),
        needed: SECOND,
        seed: 1,
    };
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        if matches!(rule.decide(&attempt, &budget), RetryDecision::Retry { .. }) {
            retries += 1;
        }
    }
    // The reserve of 10 is full at the first attempt, whose credits are lost.
    assert_eq!(retries, 10 + 99);
    assert_matches!(
        rule.decide(&attempt, &budget),
        RetryDecision::GiveUp(GiveUpReason::Budget)
    );
}

#[test]
fn hedge_waits_for_a_learned_quantile() {
    let rule = HedgeRule::default();
    let latency = QuantileSketch::default();
    let remaining = TimeSpan::from_secs(4);
    assert_eq!(rule.delay(true, &latency, remaining), None);
    for _ in 0..95 {
        latency.record(TimeSpan::from_millis(100));
    }
    for _ in 0..5 {
        latency.record(TimeSpan::from_millis(3_000));
    }
    let delay = rule.delay(true, &latency, remaining).unwrap();
    assert!(delay >= TimeSpan::from_millis(100) && delay <= TimeSpan::from_millis(120));
    assert_eq!(rule.delay(false, &latency, remaining), None);
    assert_eq!(rule.delay(true, &latency, TimeSpan::from_millis(150)), None);
}

#[test]
fn ejections_grow_longer_and_recovery_is_slow() {
    let rule = HealthRule::default();
    let health = TargetHealth::default();
    let mut now = ClockTime::from_millis(1_000);
    let mut previous = TimeSpan::ZERO;
    for _ in 0..8 {
        let span = health.eject(&rule, now);
        assert!(span > previous || span == rule.longest_ejection);
        assert!(health.is_ejected(now));
        now = now + span;
        assert!(!health.is_ejected(now));
        previous = span;
    }
    let just_recovered = health.penalty(&rule, now);
    let later = health.penalty(&rule, now + rule.slow_start);
    assert!(just_recovered > 4.0);
    assert!((later - 1.0).abs() < 1e-9);
}

#[test]
fn failures_in_a_row_count_and_answers_reset_them() {
    let rule = HealthRule::default();
    let health = TargetHealth::default();
    for _ in 0..rule.failure_limit - 1 {
        assert!(!health.observe(CallOutcome::Failed, &rule));
    }
    assert!(!health.observe(CallOutcome::Answered, &rule));
    for _ in 0..rule.failure_limit - 1 {
        assert!(!health.observe(CallOutcome::Stalled, &rule));
    }
    assert!(health.observe(CallOutcome::Failed, &rule));
}
