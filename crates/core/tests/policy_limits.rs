//! Distributed rate limits: how far the nodes together may exceed or miss a
//! limit.

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
            BucketSize, LeaseBatch, LeaseGrantor, LeaseReply, LeaseRequest, LeaseRule, LimitBucket,
            LimitDecision, LimitTable, OwnerView, WorkspaceLimit,
        },
    },
    units::RateLimit,
};

use self::common::limit_fleet::LimitFleet;

const NOW: ClockTime = ClockTime::from_millis(50_000);
const WARM_UP: TimeSpan = TimeSpan::from_secs(6);
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

fn size(static_rate: f64, burst_share: f64) -> BucketSize {
    BucketSize {
        static_rate,
        burst_share,
        burst_window: TimeSpan::from_secs(1),
    }
}

/// Upper bound on the allowed events per second. Beyond the limit, each node may
/// use one more token in the measured time, and the buckets together the tokens
/// of one second that they had accumulated.
fn max_allowed(nodes: usize) -> f64 {
    let nodes = f64::from(u32::try_from(nodes).unwrap());
    LIMIT + (nodes + LIMIT) / MEASURE.as_secs_f64()
}

proptest! {
    #![proptest_config(config(24))]

    #[test]
    fn limit_holds_for_any_distribution_of_demand(
        rates in prop::collection::vec(0.0_f64..150.0, 1..12),
    ) {
        let mut fleet = LimitFleet::new(rates.len(), LIMIT, LeaseRule::default());
        fleet.run(WARM_UP, |index| rates[index]);
        let allowed = fleet.run(MEASURE, |index| rates[index]);
        prop_assert!(allowed <= max_allowed(rates.len()), "{allowed} allowed");
    }

    #[test]
    fn both_sides_of_a_partition_together_stay_within_the_limit(
        sides in prop::collection::vec(0_usize..2, 3..12),
        rates in prop::collection::vec(0.0_f64..150.0, 12),
    ) {
        let mut fleet = LimitFleet::new(sides.len(), LIMIT, LeaseRule::default());
        fleet.run(WARM_UP, |index| rates[index]);
        fleet.partition(|index| sides[index]);
        fleet.update_views();
        fleet.run(WARM_UP, |index| rates[index]);
        let allowed = fleet.run(MEASURE, |index| rates[index]);
        prop_assert!(allowed <= max_allowed(sides.len()), "{allowed} allowed");
    }

    #[test]
    fn change_of_owner_does_not_grant_the_rate_twice(
        size in 3_usize..12,
        rates in prop::collection::vec(20.0_f64..150.0, 12),
    ) {
        let mut fleet = LimitFleet::new(size, LIMIT, LeaseRule::default());
        fleet.run(WARM_UP, |index| rates[index]);
        fleet.stop(fleet.owner_index());
        fleet.update_views();
        // The time in which leases of both owners could be in use.
        let allowed = fleet.run(TimeSpan::from_secs(2), |index| rates[index]);
        prop_assert!(allowed <= LIMIT + LIMIT / 2.0 + 1.0, "{allowed} allowed");
        let allowed = fleet.run(MEASURE, |index| rates[index]);
        prop_assert!(allowed <= max_allowed(size), "{allowed} allowed");
    }

    #[test]
    fn open_grants_never_exceed_the_leasable_rate(
        requests in prop::collection::vec((0_usize..6, 0.0_f32..200.0, 0_u64..1_500), 1..100),
    ) {
        let rule = LeaseRule::default();
        let view = OwnerView::new([node(0)], 1);
        let mut grantor = LeaseGrantor::new(node(0), rule, view, NOW);
        let limit = RateLimit::per_second(LIMIT).unwrap();
        let mut now = NOW + rule.lease_duration;
        let mut open: Vec<(usize, f64, ClockTime)> = Vec::new();
        for (holder, wanted, wait) in requests {
            now = now + TimeSpan::from_millis(wait);
            let request = LeaseRequest { workspace: workspace(0), wanted, tokens: 0 };
            let batch = LeaseBatch { holder: node(holder), asks: vec![request] };
            let reply = grantor.answer(&batch, |_| Some(limit), now);
            for grant in &reply.grants {
                open.push((holder, f64::from(grant.rate), now + reply.span));
            }
            open.retain(|(_, _, until)| *until > now);
            // Any reply may be lost, so each holder may be using its highest grant.
            let highest = |holder| {
                let own = open.iter().filter(|(owner, _, _)| *owner == holder);
                own.map(|(_, rate, _)| *rate).fold(0.0, f64::max)
            };
            let total: f64 = (0..6).map(highest).sum();
            prop_assert!(total <= LIMIT * (1.0 - rule.static_share) + 1e-6, "{total} open");
        }
    }

    #[test]
    fn bucket_allows_no_more_than_rate_and_burst(
        waits in prop::collection::vec(0_u64..100, 1..500),
        rate in 0.1_f64..100.0,
        burst_share in 0.0_f64..50.0,
    ) {
        let size = size(rate, burst_share);
        let mut bucket = LimitBucket::new(&size, NOW);
        let mut now = NOW;
        let mut allowed = 0.0;
        for wait in waits {
            now = now + TimeSpan::from_millis(wait);
            if bucket.try_acquire(&size, now) == LimitDecision::Allowed {
                allowed += 1.0;
            }
            let bound = now.since(NOW).as_secs_f64() * rate + rate.max(burst_share).max(1.0);
            prop_assert!(allowed <= bound + 1e-6);
        }
    }
}

#[test]
fn workspace_on_one_node_gets_most_of_its_limit() {
    let mut fleet = LimitFleet::new(9, LIMIT, LeaseRule::default());
    let rate = |index| if index == 0 { 300.0 } else { 0.0 };
    fleet.run(WARM_UP, rate);
    let allowed = fleet.run(MEASURE, rate);
    assert!(allowed >= 0.8 * LIMIT, "{allowed} allowed");
}

#[test]
fn small_limit_spread_over_many_nodes_is_mostly_used() {
    let mut fleet = LimitFleet::new(30, 6.0, LeaseRule::default());
    let rate = |_| 0.1;
    fleet.run(TimeSpan::from_secs(60), rate);
    let allowed = fleet.run(TimeSpan::from_secs(120), rate);
    assert!(allowed >= 0.9 * 3.0, "{allowed} of 3 allowed");
    let rate = |_| 0.6;
    fleet.run(TimeSpan::from_secs(60), rate);
    let allowed = fleet.run(TimeSpan::from_secs(120), rate);
    assert!(allowed <= 1.05 * 6.0, "{allowed} of 6 allowed");
    assert!(allowed >= 0.8 * 6.0, "{allowed} of 6 allowed");
}

#[test]
fn leases_expire_when_the_owner_is_gone() {
    let rule = LeaseRule::default();
    let mut fleet = LimitFleet::new(9, LIMIT, rule);
    let rate = |index| if index < 2 { 300.0 } else { 0.0 };
    fleet.run(WARM_UP, rate);
    // The grantors keep their views, so no other node grants leases.
    fleet.stop(fleet.owner_index());
    fleet.run(WARM_UP, rate);
    let allowed = fleet.run(MEASURE, rate);
    assert!(allowed <= rule.static_share * LIMIT, "{allowed} allowed");
    assert!(allowed > 0.0);
}

#[test]
fn workspace_within_its_static_shares_requests_no_lease() {
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
fn burst_is_allowed_once_across_all_nodes() {
    let mut fleet = LimitFleet::new(9, LIMIT, LeaseRule::default());
    fleet.set_burst(200);
    let second = TimeSpan::from_secs(1);
    let first = fleet.run(second, |_| 100.0);
    assert!(first >= 190.0, "{first} allowed");
    assert!(first <= LIMIT + 200.0, "{first} allowed");
    fleet.run(WARM_UP, |_| 100.0);
    let later = fleet.run(MEASURE, |_| 100.0);
    assert!(later <= max_allowed(9), "{later} allowed");
}

#[test]
fn removal_of_idle_buckets_does_not_refill_them() {
    let table = LimitTable::new(LeaseRule::default());
    let limit = WorkspaceLimit {
        rate: RateLimit::per_second(1.0).unwrap(),
        burst: 90,
    };
    let view = OwnerView::default();
    let is_allowed = |now| table.try_acquire(workspace(0), limit, 9, now) == LimitDecision::Allowed;
    let mut allowed = (0..50).filter(|_| is_allowed(NOW)).count();
    assert_eq!(allowed, 10);
    // The static rate is 1/45 event per second: the bucket is full after 450 s.
    for second in 1..400 {
        let now = NOW + TimeSpan::from_secs(second);
        let _ = table.end_interval(&node(0), &view, TimeSpan::from_secs(1), now);
    }
    assert_eq!(table.len(), 1);
    let now = NOW + TimeSpan::from_secs(400);
    allowed += (0..50).filter(|_| is_allowed(now)).count();
    assert_eq!(allowed, 18);
    for second in 401..1_000 {
        let now = NOW + TimeSpan::from_secs(second);
        let _ = table.end_interval(&node(0), &view, TimeSpan::from_secs(1), now);
    }
    assert!(table.is_empty());
}

#[test]
fn new_owner_waits_until_leases_of_the_previous_one_expire() {
    let rule = LeaseRule::default();
    let limit = RateLimit::per_second(LIMIT).unwrap();
    let other_is_owner = |index: &usize| {
        let view = OwnerView::new([node(0), node(1)], 2);
        view.owner(workspace(*index)) == Some(&node(1))
    };
    let index = (0..100).find(other_is_owner).unwrap();
    let view = OwnerView::new([node(0), node(1)], 2);
    let mut grantor = LeaseGrantor::new(node(0), rule, view, NOW);
    let changed_at = NOW + TimeSpan::from_secs(60);
    grantor.update_view(OwnerView::new([node(0)], 2), changed_at);
    let batch = LeaseBatch {
        holder: node(0),
        asks: vec![LeaseRequest {
            workspace: workspace(index),
            wanted: 10.0,
            tokens: 0,
        }],
    };
    let early = changed_at + TimeSpan::from_millis(rule.lease_duration.as_millis() - 1);
    assert_eq!(grantor.answer(&batch, |_| Some(limit), early).grants, []);
    let late = changed_at + rule.lease_duration;
    let grants = grantor.answer(&batch, |_| Some(limit), late).grants;
    assert_matches!(grants.as_slice(), [grant] if grant.rate > 0.0);
}

#[test]
fn refusal_contains_the_retry_delay() {
    let size = size(0.5, 0.0);
    let mut bucket = LimitBucket::new(&size, NOW);
    assert_eq!(bucket.try_acquire(&size, NOW), LimitDecision::Allowed);
    let decision = bucket.try_acquire(&size, NOW);
    assert_matches!(decision, LimitDecision::Refused { retry_after } if retry_after == TimeSpan::from_secs(2));
}

#[test]
fn messages_round_trip_through_messagepack() {
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
