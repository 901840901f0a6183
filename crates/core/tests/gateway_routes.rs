//! Route matching, API keys, traffic split, and which requests may be sent again.

use std::sync::Arc;

use assert_matches::assert_matches;
use verbenahub_core::{
    clock::TimeSpan,
    ids::{PoolName, TargetId, WorkspaceName},
    routes::{
        AuthResult, FirstAttemptEstimator, RouteConfig, RouteKind, RouteSpec, SendHistory,
        SplitShare, WorkspaceKeys,
    },
};

fn pool(name: &str) -> PoolName {
    PoolName::new(name).expect("a name")
}

fn route(name: &str, prefix: &str) -> RouteSpec {
    RouteSpec {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: TimeSpan::from_secs(1),
        goal: TimeSpan::from_millis(100),
        priority: 0,
        split: vec![SplitShare {
            service: pool("only"),
            weight: 1,
        }],
        attempts: 2,
        stages: Vec::new(),
        public: false,
        resumable: false,
        gap_limit: TimeSpan::ZERO,
    }
}

fn config(routes: Vec<RouteSpec>) -> RouteConfig {
    let mut config = RouteConfig::default();
    for route in routes {
        let routes = config.hosts.entry(route.host.clone()).or_default();
        routes.push(Arc::new(route));
    }
    config
}

#[test]
fn longest_matching_prefix_of_the_host_wins() {
    let config = config(vec![
        route("a", "/"),
        route("b", "/a/"),
        route("c", "/a/b/"),
    ]);
    for (host, path, expected) in [
        ("shop.example", "/x", Some("a")),
        ("SHOP.example:8080", "/a/x", Some("b")),
        ("shop.example", "/a/b/c", Some("c")),
        ("shop.example", "/a/b", Some("b")),
        ("shop.example", "/a", Some("a")),
        ("shop.example", "/A/", Some("a")),
        ("shop.example", "/x/../a/b/", Some("a")),
        ("shop.example", "/%61/", Some("a")),
        ("other.example", "/a/", None),
        ("", "/a/", None),
    ] {
        let found = config.find(host, path.as_bytes());
        assert_eq!(
            found.map(|route| route.name.as_str()),
            expected,
            "{host}{path}"
        );
    }
}

#[test]
fn split_follows_weights() {
    let split = |service, weight| SplitShare {
        service: pool(service),
        weight,
    };
    let route = RouteSpec {
        split: vec![split("a", 90), split("none", 0), split("b", 10)],
        ..route("r", "/")
    };
    for (draw, expected) in [
        (0.0, "a"),
        (0.899, "a"),
        (0.9, "b"),
        (0.999, "b"),
        (1.0, "b"),
    ] {
        assert_eq!(route.pick_service(draw), Some(&pool(expected)), "{draw}");
    }
}

#[test]
fn key_authenticates_its_workspace_only() {
    let workspace = WorkspaceName::new("inn").expect("an id");
    let mut keys = WorkspaceKeys::required();
    keys.insert(b"secret", workspace.clone());
    assert_eq!(
        keys.authenticate(Some(b"secret")),
        AuthResult::Authenticated(&workspace)
    );
    assert_eq!(
        keys.authenticate(Some(b"Secret")),
        AuthResult::Unauthenticated
    );
    assert_eq!(keys.authenticate(None), AuthResult::Unauthenticated);
    assert_eq!(
        WorkspaceKeys::default().authenticate(None),
        AuthResult::NotRequired
    );
}

fn target() -> TargetId {
    TargetId::new("t").expect("an id")
}

#[test]
fn only_what_has_certainly_not_run_can_be_proved() {
    let mut history = SendHistory::default();
    assert!(history.prove_not_run().is_some());
    history.record_send(target());
    assert!(
        history.prove_not_run().is_none(),
        "the result is not known yet"
    );
    history.record_not_run();
    assert!(history.prove_not_run().is_some(), "the target reported it");
    history.record_send(target());
    history.record_may_have_run();
    assert!(history.prove_not_run().is_none());
    history.record_send(target());
    history.record_not_run();
    assert!(
        history.prove_not_run().is_none(),
        "the previous send may have run"
    );
}

#[test]
fn nothing_runs_twice_that_must_not() {
    let mut history = SendHistory::default();
    history.record_send(target());
    assert!(!history.may_send(true, 9), "the result is not known yet");
    history.record_may_have_run();
    assert!(!history.may_send(false, 9));
    assert!(history.may_send(true, 2));
    history.record_send(target());
    history.record_may_have_run();
    assert!(!history.may_send(true, 2), "the attempts are used up");
}

#[test]
fn unreached_target_does_not_count_as_a_send() {
    let mut history = SendHistory::default();
    history.record_send(target());
    history.record_not_sent();
    assert!(history.may_send(false, 1));
    assert_eq!((history.send_count(), history.try_count()), (0, 1));
    assert!(history.prove_not_run().is_some());
}

#[test]
fn first_event_limit_is_the_longest_of_three_times() {
    let route_with = |goal, gap| RouteSpec {
        goal: TimeSpan::from_millis(goal),
        gap_limit: TimeSpan::from_millis(gap),
        ..route("r", "/")
    };
    for (goal, gap, expected) in [(100, 100, 2_000), (800, 250, 3_200), (100, 300, 2_400)] {
        let limit = route_with(goal, gap).first_event_limit();
        assert_eq!(limit, TimeSpan::from_millis(expected));
    }
}

#[test]
fn unknown_host_has_no_route() {
    assert_matches!(RouteConfig::default().find("shop.example", b"/"), None);
}

#[test]
fn only_deadlines_well_below_the_longest_count_as_retries() {
    let mut estimator = FirstAttemptEstimator::default();
    let mut rng = fastrand::Rng::with_seed(3);
    estimator.observe_deadline(TimeSpan::from_millis(5_000));
    for _ in 0..100 {
        let deadline = TimeSpan::from_millis(rng.u64(4_250..=5_000));
        assert_eq!(
            estimator.observe_deadline(deadline),
            TimeSpan::ZERO,
            "{deadline}"
        );
    }
    // A caller that has already used 2 s of a deadline of about 4.6 s.
    let elapsed = estimator
        .observe_deadline(TimeSpan::from_millis(2_600))
        .as_millis();
    assert!((1_600..=2_400).contains(&elapsed), "{elapsed}");
}
