//! Limits over all nodes: never much above, and how far below.

mod common;

use assert_matches::assert_matches;
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{NodeId, WorkspaceId},
    policy::{
        WorkspaceHash,
        limits::{
            LeaseBatch, LeaseGrantor, LeaseReply, LeaseRequest, LeaseRule, LimitDecision,
            LimitTable, OwnerView, ShareBucket, ShareSize, WorkspaceLimit,
        },
    },
    units::RateLimit,
};

use self::common::limit_fleet::LimitFleet;

const NOW: ClockTime = ClockTime::from_millis(50_000);
const SETTLE: TimeSpan = TimeSpan::from_secs(6);
const MEASURE: TimeSpan = TimeSpan::from_secs(20);
const LIMIT: f64 = 100.0;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn node(index: usize) -> NodeId {
    NodeId::new(&format!("node-{index}")).unwrap()
}

fn workspace(index: usize) -> WorkspaceHash {
    WorkspaceHash::of(&WorkspaceId::new(&format!("workspace-{index}")).unwrap())
}

fn size(kept: f64, saved: f64) -> ShareSize {
    ShareSize {
        kept,
        saved,
        burst: TimeSpan::from_secs(1),
    }
}

/// Slack of the bound: one token for each node over the measured time, and
/// the tokens that buckets had saved up.
fn bound(nodes: usize) -> f64 {
    let nodes = f64::from(u32::try_from(nodes).unwrap());
    LIMIT + (nodes + LIMIT) / MEASURE.as_secs_f64()
}

proptest! {
    #![proptest_config(config(24))]

    #[test]
    fn limit_holds_for_any_spread_of_demand(
        rates in prop::collection::vec(0.0_f64..150.0, 1..12),
    ) {
        let mut fleet = LimitFleet::new(rates.len(), LIMIT, LeaseRule::default());
        fleet.run(SETTLE, |index| rates[index]);
        let passed = fleet.run(MEASURE, |index| rates[index]);
        prop_assert!(passed <= bound(rates.len()), "{passed} passed");
    }

    #[test]
    fn two_sides_of_a_split_stay_within_the_limit_together(
        sides in prop::collection::vec(0_usize..2, 3..12),
        rates in prop::collection::vec(0.0_f64..150.0, 12),
    ) {
        let mut fleet = LimitFleet::new(sides.len(), LIMIT, LeaseRule::default());
        fleet.run(SETTLE, |index| rates[index]);
        fleet.split(|index| sides[index]);
        fleet.settle();
        fleet.run(SETTLE, |index| rates[index]);
        let passed = fleet.run(MEASURE, |index| rates[index]);
        prop_assert!(passed <= bound(sides.len()), "{passed} passed");
    }

    #[test]
    fn change_of_home_grants_nothing_twice(
        size in 3_usize..12,
        rates in prop::collection::vec(20.0_f64..150.0, 12),
    ) {
        let mut fleet = LimitFleet::new(size, LIMIT, LeaseRule::default());
        fleet.run(SETTLE, |index| rates[index]);
        fleet.kill(fleet.home_index());
        fleet.settle();
        // The span in which leases of both homes could be in use.
        let passed = fleet.run(TimeSpan::from_secs(2), |index| rates[index]);
        prop_assert!(passed <= LIMIT + LIMIT / 2.0 + 1.0, "{passed} passed");
        let passed = fleet.run(MEASURE, |index| rates[index]);
        prop_assert!(passed <= bound(size), "{passed} passed");
    }

    #[test]
    fn open_grants_never_exceed_the_leased_part(
        asks in prop::collection::vec((0_usize..6, 0.0_f32..200.0, 0_u64..1_500), 1..100),
    ) {
        let rule = LeaseRule::default();
        let view = OwnerView::new([node(0)], 1);
        let mut home = LeaseGrantor::new(node(0), rule, view, NOW);
        let limit = RateLimit::per_second(LIMIT).unwrap();
        let mut now = NOW + rule.span;
        let mut open: Vec<(usize, f64, ClockTime)> = Vec::new();
        for (holder, wanted, wait) in asks {
            now = now + TimeSpan::from_millis(wait);
            let ask = LeaseRequest { workspace: workspace(0), wanted, tokens: 0 };
            let batch = LeaseBatch { holder: node(holder), asks: vec![ask] };
            let reply = home.answer(&batch, |_| Some(limit), now);
            for grant in &reply.grants {
                open.push((holder, f64::from(grant.rate), now + reply.span));
            }
            open.retain(|(_, _, until)| *until > now);
            // Any reply may be lost, so each holder may use its highest grant.
            let highest = |holder| {
                let own = open.iter().filter(|(owner, _, _)| *owner == holder);
                own.map(|(_, rate, _)| *rate).fold(0.0, f64::max)
            };
            let total: f64 = (0..6).map(highest).sum();
            prop_assert!(total <= LIMIT * (1.0 - rule.kept_share) + 1e-6, "{total} open");
        }
    }

    #[test]
    fn bucket_passes_no_more_than_rate_and_burst(
        waits in prop::collection::vec(0_u64..100, 1..500),
        rate in 0.1_f64..100.0,
        saved in 0.0_f64..50.0,
    ) {
        let size = size(rate, saved);
        let mut bucket = ShareBucket::new(&size, NOW);
        let mut now = NOW;
        let mut passed = 0.0;
        for wait in waits {
            now = now + TimeSpan::from_millis(wait);
            if bucket.try_acquire(&size, now) == LimitDecision::Allowed {
                passed += 1.0;
            }
            let allowed = now.since(NOW).as_secs_f64() * rate + rate.max(saved).max(1.0);
            prop_assert!(passed <= allowed + 1e-6);
        }
    }
}

#[test]
fn skewed_workspace_gets_most_of_its_limit() {
    let mut fleet = LimitFleet::new(9, LIMIT, LeaseRule::default());
    let rate = |index| if index == 0 { 300.0 } else { 0.0 };
    fleet.run(SETTLE, rate);
    let passed = fleet.run(MEASURE, rate);
    assert!(passed >= 0.8 * LIMIT, "{passed} passed");
}

#[test]
fn small_limit_spread_over_many_nodes_is_served() {
    let mut fleet = LimitFleet::new(30, 6.0, LeaseRule::default());
    let rate = |_| 0.1;
    fleet.run(TimeSpan::from_secs(60), rate);
    let passed = fleet.run(TimeSpan::from_secs(120), rate);
    assert!(passed >= 0.9 * 3.0, "{passed} of 3 passed");
    let rate = |_| 0.6;
    fleet.run(TimeSpan::from_secs(60), rate);
    let passed = fleet.run(TimeSpan::from_secs(120), rate);
    assert!(passed <= 1.05 * 6.0, "{passed} of 6 passed");
    assert!(passed >= 0.8 * 6.0, "{passed} of 6 passed");
}

#[test]
fn lease_runs_out_when_the_home_is_gone() {
    let rule = LeaseRule::default();
    let mut fleet = LimitFleet::new(9, LIMIT, rule);
    let rate = |index| if index < 2 { 300.0 } else { 0.0 };
    fleet.run(SETTLE, rate);
    // No view changes: nobody takes over.
    fleet.kill(fleet.home_index());
    fleet.run(SETTLE, rate);
    let passed = fleet.run(MEASURE, rate);
    assert!(passed <= rule.kept_share * LIMIT, "{passed} passed");
    assert!(passed > 0.0);
}

#[test]
fn evenly_spread_workspace_within_its_shares_asks_nobody() {
    let rule = LeaseRule::default();
    let table = LimitTable::new(rule);
    let limit = WorkspaceLimit {
        rate: RateLimit::per_second(900.0).unwrap(),
        burst: 0,
    };
    let view = OwnerView::new((0..9).map(node), 9);
    let mut now = NOW;
    for _ in 0..10 {
        now = now + TimeSpan::from_millis(100);
        assert_eq!(
            table.try_acquire(workspace(0), limit, 9, now),
            LimitDecision::Allowed
        );
    }
    let batches = table.end_interval(&node(0), &view, TimeSpan::from_secs(1), now);
    assert_eq!(batches, Vec::new());
}

#[test]
fn burst_passes_once_over_all_nodes() {
    let mut fleet = LimitFleet::new(9, LIMIT, LeaseRule::default());
    fleet.set_burst(200);
    let second = TimeSpan::from_secs(1);
    let first = fleet.run(second, |_| 100.0);
    assert!(first >= 190.0, "{first} passed");
    assert!(first <= LIMIT + 200.0, "{first} passed");
    fleet.run(SETTLE, |_| 100.0);
    let later = fleet.run(MEASURE, |_| 100.0);
    assert!(later <= bound(9), "{later} passed");
}

#[test]
fn forgotten_bucket_gives_nothing_away() {
    let table = LimitTable::new(LeaseRule::default());
    let limit = WorkspaceLimit {
        rate: RateLimit::per_second(1.0).unwrap(),
        burst: 90,
    };
    let view = OwnerView::default();
    let pass = |now| table.try_acquire(workspace(0), limit, 9, now) == LimitDecision::Allowed;
    let mut passed = (0..50).filter(|_| pass(NOW)).count();
    assert_eq!(passed, 10);
    // The share keeps 1/45 event a second: full again after 450 s.
    for second in 1..400 {
        let now = NOW + TimeSpan::from_secs(second);
        let _ = table.end_interval(&node(0), &view, TimeSpan::from_secs(1), now);
    }
    assert_eq!(table.len(), 1);
    let now = NOW + TimeSpan::from_secs(400);
    passed += (0..50).filter(|_| pass(now)).count();
    assert_eq!(passed, 18);
    for second in 401..1_000 {
        let now = NOW + TimeSpan::from_secs(second);
        let _ = table.end_interval(&node(0), &view, TimeSpan::from_secs(1), now);
    }
    assert!(table.is_empty());
}

#[test]
fn new_home_waits_until_leases_of_the_old_one_have_ended() {
    let rule = LeaseRule::default();
    let limit = RateLimit::per_second(LIMIT).unwrap();
    let other_is_home = |index: &usize| {
        let view = OwnerView::new([node(0), node(1)], 2);
        view.owner(workspace(*index)) == Some(&node(1))
    };
    let index = (0..100).find(other_is_home).unwrap();
    let view = OwnerView::new([node(0), node(1)], 2);
    let mut home = LeaseGrantor::new(node(0), rule, view, NOW);
    let changed = NOW + TimeSpan::from_secs(60);
    home.update_view(OwnerView::new([node(0)], 2), changed);
    let batch = LeaseBatch {
        holder: node(0),
        asks: vec![LeaseRequest {
            workspace: workspace(index),
            wanted: 10.0,
            tokens: 0,
        }],
    };
    let early = changed + TimeSpan::from_millis(rule.span.as_millis() - 1);
    assert_eq!(home.answer(&batch, |_| Some(limit), early).grants, []);
    let late = changed + rule.span;
    let grants = home.answer(&batch, |_| Some(limit), late).grants;
    assert_matches!(grants.as_slice(), [grant] if grant.rate > 0.0);
}

#[test]
fn refusal_says_when_to_return() {
    let size = size(0.5, 0.0);
    let mut bucket = ShareBucket::new(&size, NOW);
    assert_eq!(bucket.try_acquire(&size, NOW), LimitDecision::Allowed);
    let answer = bucket.try_acquire(&size, NOW);
    assert_matches!(answer, LimitDecision::Refused { retry_after } if retry_after == TimeSpan::from_secs(2));
}

#[test]
fn messages_survive_encoding() {
    let batch = LeaseBatch {
        holder: node(3),
        asks: vec![LeaseRequest {
            workspace: workspace(1),
            wanted: 12.5,
            tokens: 1,
        }],
    };
    let bytes = rmp_serde::to_vec(&batch).unwrap();
    assert_eq!(rmp_serde::from_slice::<LeaseBatch>(&bytes).unwrap(), batch);
    let reply = LeaseReply::default();
    let bytes = rmp_serde::to_vec(&reply).unwrap();
    assert_eq!(rmp_serde::from_slice::<LeaseReply>(&bytes).unwrap(), reply);
}
