use std::{
    collections::HashMap,
    sync::{Arc, PoisonError},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    HashRing, InFlightGuard, PoolStats, RouteRequest, ShortTargetId, TargetMapConfig, TargetVm,
    in_flight_guard::CallForecast,
    route_score::predicted_wait,
    route_search::{RouteSearch, SearchPass},
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::TargetId,
    policy::{admission::PoolLoad, health::CallOutcome, numbers},
};

/// The targets of one pool in one version of the membership list.
#[derive(Debug)]
pub struct TargetPool {
    pub(super) targets: Vec<Arc<TargetVm>>,
    by_id: HashMap<TargetId, usize>,
    pub(super) by_short_id: HashMap<ShortTargetId, usize>,
    pub(super) near: Vec<usize>,
    pub(super) far: Vec<usize>,
    pub(super) ring: HashRing,
    stats: Arc<PoolStats>,
}

/// What a review of a pool has found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolReview {
    /// Targets ejected because they are slow.
    pub ejected: Vec<TargetId>,
}

impl TargetPool {
    /// Creates the pool of a version.
    #[must_use]
    pub fn new(rule: &TargetMapConfig, targets: Vec<Arc<TargetVm>>, stats: Arc<PoolStats>) -> Self {
        let by_id = targets.iter().enumerate();
        let by_short_id = targets.iter().enumerate();
        Self {
            by_id: by_id.map(|(at, vm)| (vm.target.clone(), at)).collect(),
            by_short_id: by_short_id
                .map(|(at, vm)| (vm.stats.short_id(), at))
                .collect(),
            near: subset(rule, &targets, true, rule.near_limit),
            far: subset(rule, &targets, false, rule.far_limit),
            ring: HashRing::new(targets.iter().map(|vm| vm.target.as_str())),
            targets,
            stats,
        }
    }

    /// The targets.
    #[must_use]
    pub fn targets(&self) -> &[Arc<TargetVm>] {
        &self.targets
    }

    /// A target by its identifier.
    #[must_use]
    pub fn target(&self, target: &TargetId) -> Option<&Arc<TargetVm>> {
        self.by_id.get(target).map(|at| &self.targets[*at])
    }

    /// What is learned about the pool.
    #[must_use]
    pub const fn stats(&self) -> &Arc<PoolStats> {
        &self.stats
    }

    /// Chooses a target and counts the call as in flight; nothing when no
    /// target is left.
    #[must_use]
    pub fn choose(
        self: &Arc<Self>,
        ask: &RouteRequest<'_>,
        now: ClockTime,
    ) -> Option<InFlightGuard> {
        let search = |pass| RouteSearch::new(self, ask, pass, now).pick();
        let at = search(SearchPass::Strict).or_else(|| search(SearchPass::Lenient))?;
        let vm = Arc::clone(&self.targets[at]);
        let forecast = self.forecast(&vm, now);
        Some(InFlightGuard::begin(Arc::clone(self), vm, forecast, now))
    }

    fn forecast(&self, vm: &TargetVm, now: ClockTime) -> CallForecast {
        let service = vm.stats.predicted_service(&self.stats);
        let capacity = f64::from(vm.capacity());
        let crowded = vm.stats.predicted_load(&self.stats, now) + 1.0 > capacity;
        let excess = vm.stats.reported_excess(&self.stats, now) / capacity;
        CallForecast {
            stretch: 1.0 + predicted_wait(vm, &self.stats, now) / service,
            excess: crowded.then_some(excess),
        }
    }

    /// Load of the pool as this node sees it; `nodes` share it.
    #[must_use]
    pub fn load(&self, nodes: usize, now: ClockTime) -> PoolLoad {
        let usable = |vm: &&Arc<TargetVm>| !vm.is_leaving() && !vm.is_ejected(now);
        let mut load = PoolLoad {
            nodes: numbers::count(nodes),
            ..PoolLoad::default()
        };
        let usual = self.usual_capacity();
        for vm in self.targets.iter().filter(usable) {
            let own = f64::from(vm.stats.in_flight());
            load.capacity += vm.known_capacity().map_or(usual, f64::from);
            load.others += vm.stats.predicted_load(&self.stats, now) - own;
        }
        load
    }

    /// Mean capacity of the targets whose capacity is known, at least 1. The
    /// targets of a pool are alike, and one that was never called has sent no
    /// report.
    fn usual_capacity(&self) -> f64 {
        let known: Vec<u32> = self
            .targets
            .iter()
            .filter_map(|vm| vm.known_capacity())
            .collect();
        let total: u32 = known.iter().sum();
        (f64::from(total) / numbers::count(known.len().max(1))).max(1.0)
    }

    /// Ejects the targets whose service time is far above the pool's median,
    /// up to the cap. To be called about once a second.
    #[must_use]
    pub fn eject_slow(&self, now: ClockTime) -> PoolReview {
        let mut review = PoolReview::default();
        let Some(median) = self.median_service() else {
            return review;
        };
        let rule = &self.stats.health_rule;
        for vm in &self.targets {
            let sampled = vm.stats.samples() >= rule.slow_samples;
            let service = vm.stats.observed_service().unwrap_or(0.0);
            let slow = sampled && service > median * rule.slow_factor;
            if slow && self.try_eject(vm, now) {
                review.ejected.push(vm.target.clone());
            }
        }
        review
    }

    pub(super) fn note_latency(&self, vm: &TargetVm, took: TimeSpan, forecast: &CallForecast) {
        self.stats.latency.record(took);
        let millis = numbers::millis(took).max(1.0);
        if let Some(excess) = forecast.excess {
            let slowdown = millis / vm.stats.predicted_service(&self.stats);
            self.stats.report_skill.note(excess, slowdown);
        }
        vm.stats
            .observe_service(millis / forecast.stretch, &self.stats);
    }

    pub(super) fn note_outcome(&self, vm: &TargetVm, outcome: CallOutcome, now: ClockTime) -> bool {
        let failing = vm.stats.health().observe(outcome, &self.stats.health_rule);
        failing && self.try_eject(vm, now)
    }

    /// Ejects a target unless the cap of the pool is reached.
    fn try_eject(&self, vm: &TargetVm, now: ClockTime) -> bool {
        let rule = &self.stats.health_rule;
        let lock = self.stats.ejection.lock();
        let _one_at_a_time = lock.unwrap_or_else(PoisonError::into_inner);
        let ejected = self.targets.iter().filter(|vm| vm.is_ejected(now));
        if vm.is_ejected(now) || ejected.count() >= rule.ejected_limit(self.targets.len()) {
            return false;
        }
        vm.stats.health().eject(rule, now);
        vm.stats.forget_service();
        true
    }

    fn median_service(&self) -> Option<f64> {
        let sampled = |vm: &&Arc<TargetVm>| vm.stats.samples() >= 1;
        let seen = self.targets.iter().filter(sampled);
        let mut services: Vec<f64> = seen.filter_map(|vm| vm.stats.observed_service()).collect();
        if services.is_empty() {
            return None;
        }
        let middle = services.len() / 2;
        let (_, median, _) = services.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }
}

/// The targets near or far that this node samples from: all of a small pool,
/// else those that rendezvous hashing gives the node.
fn subset(
    rule: &TargetMapConfig,
    targets: &[Arc<TargetVm>],
    near: bool,
    limit: usize,
) -> Vec<usize> {
    let seed = xxh3_64_with_seed(rule.node.as_str().as_bytes(), 0);
    let weight = |at: &usize| xxh3_64_with_seed(targets[*at].target.as_str().as_bytes(), seed);
    let mut members: Vec<usize> = (0..targets.len())
        .filter(|at| targets[*at].near == near)
        .collect();
    if members.len() > limit {
        members.sort_by_cached_key(weight);
        members.truncate(limit);
    }
    members
}
