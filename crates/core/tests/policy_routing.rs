//! Target selection: which targets may be chosen, and how calls are distributed.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
};

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{NodeId, PoolName, TargetId, ZoneName},
    policy::{
        health::CallOutcome,
        routing::{
            InFlightGuard, PromptPrefix, RouteObjective, RouteRequest, RoutingMode, TargetEntry,
            TargetMap, TargetMapConfig, TargetPool,
        },
    },
    protocol::{CacheChange, CacheEvent, LoadReport, VmEntry, VmRole, VmState},
};

const MODES: [RoutingMode; 3] = [
    RoutingMode::RoundRobin,
    RoutingMode::LeastInFlight,
    RoutingMode::Adaptive,
];
const NOW: ClockTime = ClockTime::from_millis(1_000);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn target_id(index: usize) -> TargetId {
    TargetId::new(&format!("target-{index}")).unwrap()
}

fn target_entry(index: usize, leaving: bool) -> TargetEntry {
    let state = if leaving {
        VmState::Leaving
    } else {
        VmState::Live
    };
    TargetEntry {
        target: target_id(index),
        entry: VmEntry {
            role: VmRole::Target,
            address: "127.0.0.1:80".parse().unwrap(),
            region: "south".parse().unwrap(),
            zone: ZoneName::new(&format!("zone-{}", index % 3)).unwrap(),
            state,
            pool: Some(PoolName::new("engines").unwrap()),
            models: Vec::new(),
            checks_fence: false,
            capacity: Some(4),
        },
    }
}

fn map_config(node: usize) -> TargetMapConfig {
    let name = NodeId::new(&format!("node-{node}")).unwrap();
    let zone = ZoneName::new(&format!("zone-{}", node % 3)).unwrap();
    TargetMapConfig::new(name, zone)
}

fn pool_seen_by(node: usize, leaving: &[bool]) -> Arc<TargetPool> {
    let entries = leaving.iter().enumerate();
    let entries = entries.map(|(index, leaving)| target_entry(index, *leaving));
    let map = TargetMap::build(&map_config(node), entries, &TargetMap::default());
    Arc::clone(map.pool(&PoolName::new("engines").unwrap()).unwrap())
}

struct RequestParts {
    prefix: PromptPrefix,
    tried: Vec<TargetId>,
    mode: RoutingMode,
}

impl RequestParts {
    fn new(mode: RoutingMode) -> Self {
        Self {
            prefix: PromptPrefix::none(),
            tried: Vec::new(),
            mode,
        }
    }

    fn request(&self, seed: u64) -> RouteRequest<'_> {
        RouteRequest {
            seed,
            mode: self.mode,
            objective: RouteObjective::Attainment,
            model: None,
            prefix: &self.prefix,
            prompt_time: TimeSpan::from_millis(100),
            tried: &self.tried,
        }
    }
}

fn target_of(guard: &InFlightGuard) -> TargetId {
    guard.vm().target.clone()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn never_chooses_leaving_or_tried(
        leaving in prop::collection::vec(any::<bool>(), 1..40),
        reported in prop::collection::vec(any::<bool>(), 40),
        tried in prop::collection::hash_set(0_usize..40, 0..10),
        ejected in prop::collection::vec(any::<bool>(), 40),
        seed in any::<u64>(),
        mode in 0_usize..3,
    ) {
        let pool = pool_seen_by(0, &leaving);
        let mut parts = RequestParts::new(MODES[mode]);
        parts.tried = tried.iter().map(|index| target_id(*index)).collect();
        let mut allowed = HashSet::new();
        for (index, vm) in pool.targets().iter().enumerate() {
            let report = LoadReport { leaving: reported[index], ..LoadReport::default() };
            vm.stats.record_report(&report, pool.stats(), NOW);
            if ejected[index] {
                vm.stats.health().eject(&pool.stats().health_rule, NOW);
            }
            if !leaving[index] && !reported[index] && !tried.contains(&index) {
                allowed.insert(vm.target.clone());
            }
        }
        for step in 0..20 {
            match pool.choose(&parts.request(seed.wrapping_add(step)), NOW) {
                Some(guard) => prop_assert!(allowed.contains(&target_of(&guard))),
                None => prop_assert!(allowed.is_empty()),
            }
        }
    }

    #[test]
    fn prefers_healthy_over_ejected(
        ejected in prop::collection::vec(any::<bool>(), 2..40),
        seed in any::<u64>(),
        mode in 0_usize..3,
    ) {
        let pool = pool_seen_by(0, &vec![false; ejected.len()]);
        for (vm, ejected) in pool.targets().iter().zip(&ejected) {
            if *ejected {
                vm.stats.health().eject(&pool.stats().health_rule, NOW);
            }
        }
        let parts = RequestParts::new(MODES[mode]);
        let guard = pool.choose(&parts.request(seed), NOW);
        prop_assert!(guard.is_some());
        if ejected.contains(&false) {
            prop_assert!(!guard.unwrap().vm().is_ejected(NOW));
        }
    }

    #[test]
    // Guards against all nodes sending their calls to the one target that looks
    // idle in the load report that each of them has seen.
    fn old_report_does_not_herd(seed in any::<u64>(), idle in 0_usize..20) {
        let mut chosen: BTreeMap<TargetId, u32> = BTreeMap::new();
        let parts = RequestParts::new(RoutingMode::Adaptive);
        let mut rng = fastrand::Rng::with_seed(seed);
        for node in 0..9 {
            let pool = pool_seen_by(node, &[false; 20]);
            for vm in pool.targets() {
                let running = if vm.target == target_id(idle) { 0 } else { 4 };
                let report = LoadReport { running, capacity: 4, ..LoadReport::default() };
                vm.stats.record_report(&report, pool.stats(), NOW);
            }
            let choose = |_| pool.choose(&parts.request(rng.u64(..)), NOW).unwrap();
            let guards: Vec<InFlightGuard> = (0..4).map(choose).collect();
            for guard in &guards {
                *chosen.entry(target_of(guard)).or_default() += 1;
            }
        }
        let most = chosen.values().max().copied().unwrap_or(0);
        prop_assert!(most <= 18, "one of 20 targets got {} of 36 calls", most);
    }

    #[test]
    fn ejections_stay_within_the_limit(
        size in 1_usize..40,
        failing in prop::collection::vec(any::<bool>(), 400),
    ) {
        let pool = pool_seen_by(0, &vec![false; size]);
        let parts = RequestParts::new(RoutingMode::RoundRobin);
        for failed in failing {
            let guard = pool.choose(&parts.request(0), NOW).unwrap();
            let outcome = if failed { CallOutcome::Failed } else { CallOutcome::Cancelled };
            let _ = guard.finish(outcome, NOW);
            let ejected = pool.targets().iter().filter(|vm| vm.is_ejected(NOW)).count();
            prop_assert!(ejected <= pool.stats().health_rule.ejected_limit(size));
        }
    }
}

#[test]
fn dropped_guards_no_longer_count_as_in_flight() {
    let pool = pool_seen_by(0, &[false; 5]);
    let parts = RequestParts::new(RoutingMode::Adaptive);
    let guards: Vec<InFlightGuard> = (0..50)
        .filter_map(|seed| pool.choose(&parts.request(seed), NOW))
        .collect();
    let in_flight = || -> u32 { pool.targets().iter().map(|vm| vm.stats.in_flight()).sum() };
    assert_eq!(in_flight(), 50);
    drop(guards);
    assert_eq!(in_flight(), 0);
}

#[test]
fn stats_are_kept_across_versions_of_the_membership_list() {
    let entries = |count: usize| (0..count).map(|index| target_entry(index, false));
    let first = TargetMap::build(&map_config(0), entries(3), &TargetMap::default());
    let name = PoolName::new("engines").unwrap();
    let parts = RequestParts::new(RoutingMode::Adaptive);
    let guard = first
        .pool(&name)
        .unwrap()
        .choose(&parts.request(1), NOW)
        .unwrap();
    let second = TargetMap::build(&map_config(0), entries(5), &first);
    let kept = second
        .pool(&name)
        .unwrap()
        .target(&target_of(&guard))
        .unwrap();
    assert_eq!(kept.stats.in_flight(), 1);
    drop(guard);
    assert_eq!(kept.stats.in_flight(), 0);
}

#[test]
fn target_with_cached_prefix_is_chosen_until_it_is_busy() {
    let pool = pool_seen_by(0, &[false; 20]);
    let mut parts = RequestParts::new(RoutingMode::Adaptive);
    parts.prefix = PromptPrefix::of(&[7; 4_096], 0);
    let holder = Arc::clone(&pool.targets()[13]);
    for (sequence, hash) in (1..).zip(parts.prefix.hashes()) {
        let event = CacheEvent {
            sequence,
            prefix: *hash,
            change: CacheChange::Stored,
        };
        let hints = &pool.stats().cache_hints;
        hints.apply(holder.stats.short_id(), &event, NOW);
    }
    let guard = pool.choose(&parts.request(5), NOW).unwrap();
    assert_eq!(target_of(&guard), holder.target);
    let report = LoadReport {
        running: 4,
        queued: 60,
        capacity: 4,
        ..LoadReport::default()
    };
    holder.stats.record_report(&report, pool.stats(), NOW);
    let guard = pool.choose(&parts.request(5), NOW).unwrap();
    assert_ne!(target_of(&guard), holder.target);
}
