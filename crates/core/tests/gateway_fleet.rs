//! Tests of the fleet of gateways: which nodes collect for a target, which nodes
//! read the store, and how soon all nodes agree on them.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    fleet::{FleetMember, FleetTable, GossipSchedule, ReaderPlan, ReaderRole, StartupState},
    ids::{IncarnationNumber, NodeId, PoolName, TargetId},
    staging::ShardMap,
};

fn node(number: usize) -> NodeId {
    NodeId::new(&format!("n{number}")).expect("an id")
}

fn targets(count: usize) -> Vec<TargetId> {
    (0..count)
        .map(|number| TargetId::new(&format!("t{number:02}")).expect("an id"))
        .collect()
}

fn member(number: usize, heartbeat: u64, weight: f64) -> FleetMember {
    FleetMember {
        node: node(number),
        address: format!("10.0.{}.{}:80", number / 250, number % 250)
            .parse()
            .expect("an address"),
        incarnation: IncarnationNumber::new(1),
        heartbeat,
        weight,
        active: true,
    }
}

fn members(count: usize) -> Vec<(NodeId, f64)> {
    (0..count).map(|number| (node(number), 0.25)).collect()
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

#[test]
fn number_of_store_readers_does_not_grow_with_the_fleet() {
    for count in [9, 69, 300] {
        let members = members(count);
        let roles: Vec<ReaderRole> = members
            .iter()
            .map(|(node, _)| ReaderPlan::new(node, &members).role)
            .collect();
        let count_of = |role| roles.iter().filter(|other| **other == role).count();
        assert_eq!(count_of(ReaderRole::Reader), 4);
        assert_eq!(count_of(ReaderRole::Standby), count.min(12) - 4);
    }
}

#[test]
fn all_nodes_follow_the_same_reader_first() {
    let members = members(69);
    let first = |own: usize| ReaderPlan::new(&node(own), &members).sources[0].clone();
    let followed: BTreeSet<NodeId> = (0..69).map(first).collect();
    // The first reader itself follows the second one.
    assert!(followed.len() <= 2, "{followed:?}");
}

#[test]
fn node_alone_has_nobody_to_follow() {
    let plan = ReaderPlan::new(&node(1), &[]);
    assert_eq!(plan.role, ReaderRole::Follower);
    assert!(plan.sources.is_empty());
}

#[test]
fn each_target_has_one_collector_and_each_request_one_of_them() {
    let members = members(9);
    let service = PoolName::new("ledger").expect("a name");
    let targets = targets(18);
    let map = ShardMap::new(
        &service,
        &targets,
        &members,
        ShardMap::STAGE_TARGETS_PER_OWNER,
    );
    let mut seen = Vec::new();
    for owner in members.iter().map(|(node, _)| node) {
        seen.extend(map.targets_of(owner));
    }
    seen.sort();
    assert_eq!(seen, targets);
    for request in 0..100 {
        let owner = map
            .owner_of_request(&format!("r{request}"))
            .expect("an owner");
        assert!(!map.targets_of(owner).is_empty());
    }
}

#[test]
fn collectors_get_requests_in_proportion_to_their_targets() {
    let members = members(9);
    for count in [17, 33, 50] {
        let service = PoolName::new("billing").expect("a name");
        let targets = targets(count);
        let map = ShardMap::new(
            &service,
            &targets,
            &members,
            ShardMap::STAGE_TARGETS_PER_OWNER,
        );
        assert!(map.len() > 1);
        let mut requests_by_owner = BTreeMap::new();
        for request in 0..20_000 {
            let owner = map.owner_of_request(&format!("r{request}"));
            *requests_by_owner
                .entry(owner.expect("an owner").clone())
                .or_insert(0usize) += 1;
        }
        // Every owner gets requests.
        assert_eq!(requests_by_owner.len(), map.len());
        for (owner, actual) in requests_by_owner {
            let expected = 20_000 * map.targets_of(&owner).len() / count;
            assert!(
                actual.abs_diff(expected) * 20 < expected,
                "{actual} requests instead of {expected}"
            );
        }
    }
}

#[test]
fn service_of_a_few_targets_has_one_collector() {
    let service = PoolName::new("ledger").expect("a name");
    let map = ShardMap::new(
        &service,
        &targets(5),
        &members(9),
        ShardMap::STAGE_TARGETS_PER_OWNER,
    );
    assert_eq!(map.len(), 1);
    let nobody = ShardMap::new(
        &service,
        &targets(5),
        &[],
        ShardMap::STAGE_TARGETS_PER_OWNER,
    );
    assert!(nobody.is_empty() && nobody.owner_of_request("r").is_none());
}

#[test]
fn lost_node_moves_only_the_work_that_it_owned() {
    let (all, mut remaining) = (members(9), members(9));
    remaining.remove(4);
    for number in 0..50 {
        let service = PoolName::new(&format!("s{number}")).expect("a name");
        let owner = |members: &[(NodeId, f64)]| {
            let map = ShardMap::new(
                &service,
                &targets(1),
                members,
                ShardMap::STAGE_TARGETS_PER_OWNER,
            );
            map.owner_of_request("r").cloned().expect("an owner")
        };
        let before = owner(&all);
        if before != node(4) {
            assert_eq!(owner(&remaining), before);
        }
    }
}

#[test]
fn small_vms_do_not_work_for_others_beside_large_ones() {
    let mut table = FleetTable::new(member(0, 0, 0.12));
    table.merge(
        vec![member(1, 1, 0.5), member(2, 1, 0.12), member(3, 1, 0.3)],
        at(0),
    );
    let eligible: Vec<NodeId> = table
        .eligible_members(at(0))
        .into_iter()
        .map(|(node, _)| node)
        .collect();
    assert_eq!(eligible, [node(1), node(3)]);
    assert_eq!(table.active_members(at(0)).len(), 4);
}

#[test]
fn silent_member_owns_nothing_until_it_is_heard_of_again() {
    let mut table = FleetTable::new(member(0, 0, 0.25));
    table.merge(vec![member(1, 5, 0.25)], at(0));
    assert_eq!(table.active_members(at(4_000)).len(), 2);
    // A repeated heartbeat, passed on by others, doesn't show that the node is live.
    table.merge(vec![member(1, 5, 0.25)], at(4_000));
    assert_eq!(table.active_members(at(5_000)).len(), 1);
    table.merge(vec![member(1, 6, 0.25)], at(5_000));
    assert_eq!(table.active_members(at(5_000)).len(), 2);
    table.record_unreachable(&node(1), at(5_000));
    assert_eq!(table.active_members(at(5_100)).len(), 1);
    assert_eq!(table.active_members(at(6_600)).len(), 2);
}

#[test]
fn higher_incarnation_wins_regardless_of_the_heartbeat() {
    let mut table = FleetTable::new(member(0, 0, 0.25));
    table.merge(vec![member(1, 50, 0.25)], at(0));
    let restarted = FleetMember {
        incarnation: IncarnationNumber::new(2),
        active: false,
        ..member(1, 0, 0.25)
    };
    table.merge(vec![restarted], at(100));
    table.merge(vec![member(1, 99, 0.25)], at(200));
    assert_eq!(
        table.active_members(at(200)).len(),
        1,
        "the earlier incarnation is ignored"
    );
}

/// Simulates gossip: in each round, each node exchanges its members with one
/// other. Returns the number of rounds until all nodes know each other.
fn rounds_until_all_know(count: usize, seed: u64) -> usize {
    let mut rng = Rng::with_seed(seed);
    let mut tables: Vec<FleetTable> = (0..count)
        .map(|number| FleetTable::new(member(number, 0, 0.25)))
        .collect();
    for round in 1..50 {
        let now = at(round * 1_000);
        for own in 0..count {
            let sent = tables[own].start_round(now);
            let known = tables[own].random_peer(&mut rng);
            // A node that knows no other node contacts the seed, node 0.
            let peer = known.map_or(0, |(node, _)| node.as_str()[1..].parse().expect("a number"));
            if peer == own {
                continue;
            }
            let answer = tables[peer].members();
            tables[peer].merge(sent, now);
            tables[own].merge(answer, now);
        }
        if tables.iter().all(|table| table.live_count(now) == count) {
            return usize::try_from(round).expect("small");
        }
    }
    panic!("not all nodes know each other after 49 rounds");
}

#[test]
fn gossip_reaches_all_nodes_within_a_few_rounds() {
    for seed in 0..20 {
        assert!(rounds_until_all_know(9, seed) <= 5);
        assert!(rounds_until_all_know(69, seed) <= 8);
    }
}

#[test]
fn fleet_that_comes_back_at_once_knows_itself_in_a_second() {
    let schedule = GossipSchedule::new(at(10_000));
    for seed in 0..20 {
        for count in [9, 69] {
            let mut now = at(10_000);
            for _ in 0..rounds_until_all_know(count, seed) {
                now = now + schedule.interval(true, now);
            }
            assert!(
                now <= at(11_000),
                "{count} nodes know each other only at {now}"
            );
        }
    }
    let later = at(16_000);
    assert_eq!(schedule.interval(true, later), TimeSpan::from_secs(1));
    assert!(schedule.interval(false, later) < TimeSpan::from_secs(1));
}

#[test]
fn expired_member_is_no_longer_gossiped() {
    let mut table = FleetTable::new(member(0, 0, 0.25));
    table.merge(vec![member(1, 1, 0.25)], at(0));
    assert_eq!(table.start_round(at(1_000)).len(), 2);
    let later = at(0) + TimeSpan::from_secs(61);
    assert_eq!(table.start_round(later).len(), 1);
}

#[test]
fn only_seeds_read_the_store_while_all_nodes_start() {
    let seeds = 3;
    for millis in [0, 400, 1_400, 4_900] {
        let readers = (0..300).filter(|number| {
            // A starting node knows only itself.
            let plan = ReaderPlan::new(&node(*number), &[(node(*number), 0.5)]);
            let start = StartupState {
                is_seed: *number < seeds,
                has_seeds: true,
                uptime: TimeSpan::from_millis(millis),
            };
            plan.read_reason(&start).is_some()
        });
        assert_eq!(readers.count(), seeds, "after {millis} ms");
    }
}

#[test]
fn node_reads_the_store_if_its_seeds_do_not_answer_within_the_grace_period() {
    let plan = ReaderPlan::new(&node(1), &[]);
    let start = |has_seeds, millis| StartupState {
        is_seed: false,
        has_seeds,
        uptime: TimeSpan::from_millis(millis),
    };
    assert!(!plan.reads_as_fallback(&start(true, 1_400), 3));
    assert!(plan.reads_as_fallback(&start(true, 1_500), 3));
    assert!(plan.reads_as_fallback(&start(false, 0), 0));
    let members = members(300);
    let follower = members
        .iter()
        .find(|(node, _)| ReaderPlan::new(node, &members).role == ReaderRole::Follower);
    let plan = ReaderPlan::new(&follower.expect("a follower").0, &members);
    assert!(!plan.reads_as_fallback(&start(true, 60_000), 0));
    assert!(plan.reads_as_fallback(&start(true, 60_000), 1));
    assert_eq!(plan.read_reason(&start(true, 60_000)), None);
}

#[test]
fn target_that_joins_or_leaves_moves_no_other() {
    let members = members(300);
    for service in 0..20 {
        let service = PoolName::new(&format!("s{service}")).expect("a name");
        let before = ShardMap::new(
            &service,
            &targets(43),
            &members,
            ShardMap::STAGE_TARGETS_PER_OWNER,
        );
        for removed in 0..43 {
            let mut remaining = targets(43);
            remaining.remove(removed);
            let after = ShardMap::new(
                &service,
                &remaining,
                &members,
                ShardMap::STAGE_TARGETS_PER_OWNER,
            );
            for owner in before.owners() {
                let mut expected = before.targets_of(owner);
                expected.retain(|target| remaining.contains(target));
                assert_eq!(after.targets_of(owner), expected);
            }
        }
    }
}

#[test]
fn rolling_replacement_of_all_nodes_moves_a_target_a_few_times() {
    // Each of 300 nodes leaves and comes back in turn. An owner that stays keeps its
    // targets, except for those that move to the replacement of an owner that left.
    // When targets were assigned by their position in a list, each change moved two
    // thirds of them.
    let all = members(300);
    let service = PoolName::new("ledger").expect("a name");
    let owner_of = |map: &ShardMap, target: &TargetId| {
        let mut owners = map.owners().iter();
        owners
            .find(|owner| map.targets_of(owner).contains(target))
            .cloned()
    };
    let whole = ShardMap::new(
        &service,
        &targets(43),
        &all,
        ShardMap::STAGE_TARGETS_PER_OWNER,
    );
    let mut moves = 0;
    for removed in 0..300 {
        let mut remaining = all.clone();
        remaining.remove(removed);
        let without = ShardMap::new(
            &service,
            &targets(43),
            &remaining,
            ShardMap::STAGE_TARGETS_PER_OWNER,
        );
        let changed = targets(43)
            .into_iter()
            .filter(|target| owner_of(&whole, target) != owner_of(&without, target));
        // Each of them moves away, and back when the node returns.
        moves += 2 * changed.count();
    }
    // Three of the 300 nodes are owners. When one of them leaves, its third of the
    // targets moves, and a third of the others.
    assert!(moves <= 3 * 2 * 43 * 6 / 9, "{moves} moves");
}

/// Simulates the start of a whole fleet: nodes start within 300 ms, and each is
/// active 60 ms after its start. Returns the time from the last start until at
/// least 98 % of the nodes compute the same collectors.
fn agreement_after_start(count: usize, seed: u64) -> TimeSpan {
    let mut rng = Rng::with_seed(seed);
    let service = PoolName::new("ledger").expect("a name");
    let targets = targets(43);
    let starts: Vec<ClockTime> = (0..count).map(|_| at(1_000 + rng.u64(0..300))).collect();
    let mut tables: Vec<FleetTable> = (0..count)
        .map(|number| FleetTable::new(member(number, 0, 0.25)))
        .collect();
    let mut rounds = vec![0_u64; count];
    let mut next_rounds: BTreeSet<(ClockTime, usize)> = BTreeSet::new();
    for (own, start) in starts.iter().enumerate() {
        tables[own].set_active(false);
        let first_delay = GossipSchedule::new(*start)
            .activation_timeout()
            .min(TimeSpan::from_millis(60));
        next_rounds.insert((*start + first_delay, own));
    }
    let whole = ShardMap::new(
        &service,
        &targets,
        &members(count),
        ShardMap::STAGE_TARGETS_PER_OWNER,
    );
    while let Some((now, own)) = next_rounds.pop_first() {
        tables[own].set_active(now.since(starts[own]) >= TimeSpan::from_millis(60));
        let sent = tables[own].start_round(now);
        let known = tables[own].random_peer(&mut rng);
        let peer = match known {
            Some((node, _)) if !GossipSchedule::is_seed_round(rounds[own]) => {
                node.as_str()[1..].parse().expect("a number")
            }
            _ => rng.usize(0..3),
        };
        rounds[own] += 1;
        if peer != own && starts[peer] <= now {
            let answer = tables[peer].members();
            tables[peer].merge(sent, now);
            tables[own].merge(answer, now);
        }
        let schedule = GossipSchedule::new(starts[own]);
        let jitter = rng.u64(75..125);
        let wait = schedule.interval(true, now).as_millis() * jitter / 100;
        next_rounds.insert((now + TimeSpan::from_millis(wait), own));
        let agrees = |table: &&FleetTable| {
            let members = table.active_members(now);
            ShardMap::new(
                &service,
                &targets,
                &members,
                ShardMap::STAGE_TARGETS_PER_OWNER,
            )
            .owners()
                == whole.owners()
        };
        if own == 0 && tables.iter().filter(agrees).count() * 50 >= count * 49 {
            return at(1_300).until(now);
        }
    }
    unreachable!("every round schedules the next one")
}

#[test]
fn fleet_that_starts_at_once_agrees_on_its_collectors_within_a_second() {
    for count in [9, 30, 100, 300] {
        for seed in 0..3 {
            let span = agreement_after_start(count, seed);
            assert!(
                span <= TimeSpan::from_millis(1_000),
                "{count} nodes agree only after {span}"
            );
        }
    }
}

#[test]
fn node_is_established_after_three_seconds_of_gossip() {
    let mut table = FleetTable::new(member(0, 0, 0.25));
    table.merge(vec![member(1, 14, 0.25)], at(10_000));
    assert!(!table.knows_established_member());
    table.merge(vec![member(1, 15, 0.25)], at(10_100));
    assert!(table.knows_established_member());
}

#[test]
fn engines_that_come_and_go_do_not_change_the_node_that_chooses_among_them() {
    let service = PoolName::new("pool").expect("a name");
    let members = members(295);
    let choosers = |engines: usize| {
        let map = ShardMap::new(
            &service,
            &targets(engines),
            &members,
            ShardMap::ENGINES_PER_OWNER,
        );
        map.owners().to_vec()
    };
    let expected = choosers(130);
    assert_eq!(expected.len(), 1);
    for engines in 60..=200 {
        assert_eq!(choosers(engines), expected, "{engines} engines");
    }
}

/// A table with `count` members, heard at 0, of which `live` were heard again at
/// 10 s. The node itself has sent `rounds` heartbeats.
fn fleet_in_contact(count: usize, live: usize, rounds: usize) -> FleetTable {
    let mut fleet = FleetTable::new(member(0, 0, 0.25));
    fleet.merge(
        (1..count).map(|number| member(number, 1, 0.25)).collect(),
        at(0),
    );
    for _ in 0..rounds {
        fleet.start_round(at(0));
    }
    fleet.merge(
        (1..live).map(|number| member(number, 2, 0.25)).collect(),
        at(10_000),
    );
    fleet
}

#[test]
fn parts_of_a_fleet_grant_little_more_than_a_limit_together() {
    for (count, live, share) in [
        (9, 9, 1.0),
        (9, 5, 1.0),
        (9, 4, 4.0 / 18.0),
        (10, 5, 0.25),
        (300, 1, 1.0 / 600.0),
    ] {
        let fleet = fleet_in_contact(count, live, 20);
        let granted = fleet.grant_share(at(10_001));
        assert!(
            (granted - share).abs() < 1e-9,
            "{live} of {count}: {granted}"
        );
        if count > live {
            let other = fleet_in_contact(count, count - live, 20);
            let both = granted + other.grant_share(at(10_001));
            assert!(both <= 1.25, "{live} of {count}: {both}");
        }
    }
}

#[test]
fn node_that_has_just_started_grants_a_part_of_a_limit_only() {
    let alone = fleet_in_contact(1, 1, 0);
    assert!(alone.grant_share(at(100)) <= 1.0 / 12.0);
    let nine = fleet_in_contact(9, 9, 3);
    assert!(nine.grant_share(at(10_001)) <= 0.75);
    let established = fleet_in_contact(1, 1, 20);
    assert!((established.grant_share(at(10_001)) - 1.0).abs() < 1e-9);
}
