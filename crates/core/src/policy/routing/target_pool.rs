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
    pub(super) same_zone: Vec<usize>,
    pub(super) other_zones: Vec<usize>,
    pub(super) ring: HashRing,
    stats: Arc<PoolStats>,
}

/// The result of checking a pool for slow targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlowEjections {
    /// Targets that were ejected because they are slow.
    pub ejected: Vec<TargetId>,
}

impl TargetPool {
    /// Creates a pool of the given targets.
    #[must_use]
    pub fn new(
        config: &TargetMapConfig,
        targets: Vec<Arc<TargetVm>>,
        stats: Arc<PoolStats>,
    ) -> Self {
        let by_id = targets.iter().enumerate();
        let by_short_id = targets.iter().enumerate();
        Self {
            by_id: by_id
                .map(|(index, vm)| (vm.target.clone(), index))
                .collect(),
            by_short_id: by_short_id
                .map(|(index, vm)| (vm.stats.short_id(), index))
                .collect(),
            same_zone: sampled_targets(config, &targets, true, config.same_zone_limit),
            other_zones: sampled_targets(config, &targets, false, config.other_zones_limit),
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

    /// Returns a target by its id.
    #[must_use]
    pub fn target(&self, target: &TargetId) -> Option<&Arc<TargetVm>> {
        self.by_id.get(target).map(|index| &self.targets[*index])
    }

    /// Statistics and budgets of the pool.
    #[must_use]
    pub const fn stats(&self) -> &Arc<PoolStats> {
        &self.stats
    }

    /// Selects a target and counts the call as in flight. Returns `None` if no
    /// target can take the call.
    #[must_use]
    pub fn choose(
        self: &Arc<Self>,
        request: &RouteRequest<'_>,
        now: ClockTime,
    ) -> Option<InFlightGuard> {
        let search = |pass| RouteSearch::new(self, request, pass, now).pick();
        let index = search(SearchPass::Strict).or_else(|| search(SearchPass::Lenient))?;
        let vm = Arc::clone(&self.targets[index]);
        let forecast = self.forecast(&vm, now);
        Some(InFlightGuard::begin(Arc::clone(self), vm, forecast, now))
    }

    fn forecast(&self, vm: &TargetVm, now: ClockTime) -> CallForecast {
        let service_time = vm.stats.predicted_service_time(&self.stats);
        let capacity = f64::from(vm.capacity());
        let is_full = vm.stats.predicted_load(&self.stats, now) + 1.0 > capacity;
        let excess_wait = vm.stats.reported_excess_calls(&self.stats, now) / capacity;
        CallForecast {
            slowdown: 1.0 + predicted_wait(vm, &self.stats, now) / service_time,
            excess_wait: is_full.then_some(excess_wait),
        }
    }

    /// Load of the usable targets as this node sees it, for a pool that `nodes`
    /// nodes share.
    #[must_use]
    pub fn load(&self, nodes: usize, now: ClockTime) -> PoolLoad {
        let usable = |vm: &&Arc<TargetVm>| !vm.is_leaving() && !vm.is_ejected(now);
        let mut load = PoolLoad {
            nodes: numbers::count(nodes),
            ..PoolLoad::default()
        };
        let mean_capacity = self.mean_capacity();
        for vm in self.targets.iter().filter(usable) {
            let own_calls = f64::from(vm.stats.in_flight());
            load.capacity += vm.known_capacity().map_or(mean_capacity, f64::from);
            load.others += vm.stats.predicted_load(&self.stats, now) - own_calls;
        }
        load
    }

    /// Mean capacity of the targets whose capacity is known, at least 1. It is used
    /// for targets of unknown capacity: the targets of a pool are similar, and one
    /// that was never called has sent no report.
    fn mean_capacity(&self) -> f64 {
        let known: Vec<u32> = self
            .targets
            .iter()
            .filter_map(|vm| vm.known_capacity())
            .collect();
        let total: u32 = known.iter().sum();
        (f64::from(total) / numbers::count(known.len().max(1))).max(1.0)
    }

    /// Ejects the targets whose service time is far above the pool's median, up to
    /// the limit on ejected targets. Must be called about once a second.
    #[must_use]
    pub fn eject_slow(&self, now: ClockTime) -> SlowEjections {
        let mut ejections = SlowEjections::default();
        let Some(median) = self.median_service_time() else {
            return ejections;
        };
        let rule = &self.stats.health_rule;
        for vm in &self.targets {
            let sampled = vm.stats.samples() >= rule.slow_samples;
            let service_time = vm.stats.observed_service_time().unwrap_or(0.0);
            let slow = sampled && service_time > median * rule.slow_factor;
            if slow && self.try_eject(vm, now) {
                ejections.ejected.push(vm.target.clone());
            }
        }
        ejections
    }

    pub(super) fn record_latency(&self, vm: &TargetVm, latency: TimeSpan, forecast: &CallForecast) {
        self.stats.latency.record(latency);
        let millis = numbers::millis(latency).max(1.0);
        if let Some(excess_wait) = forecast.excess_wait {
            let slowdown = millis / vm.stats.predicted_service_time(&self.stats);
            self.stats.report_accuracy.observe(excess_wait, slowdown);
        }
        vm.stats
            .observe_service_time(millis / forecast.slowdown, &self.stats);
    }

    pub(super) fn record_outcome(
        &self,
        vm: &TargetVm,
        outcome: CallOutcome,
        now: ClockTime,
    ) -> bool {
        let failing = vm.stats.health().observe(outcome, &self.stats.health_rule);
        failing && self.try_eject(vm, now)
    }

    /// Ejects a target unless it is ejected already or the pool's limit on ejected
    /// targets is reached. Returns whether the target was ejected.
    fn try_eject(&self, vm: &TargetVm, now: ClockTime) -> bool {
        let rule = &self.stats.health_rule;
        let lock = self.stats.ejection_lock.lock();
        let _ejection_guard = lock.unwrap_or_else(PoisonError::into_inner);
        let ejected = self.targets.iter().filter(|vm| vm.is_ejected(now));
        if vm.is_ejected(now) || ejected.count() >= rule.ejected_limit(self.targets.len()) {
            return false;
        }
        vm.stats.health().eject(rule, now);
        vm.stats.reset_service_time();
        true
    }

    fn median_service_time(&self) -> Option<f64> {
        let sampled = |vm: &&Arc<TargetVm>| vm.stats.samples() >= 1;
        let seen = self.targets.iter().filter(sampled);
        let mut service_times: Vec<f64> = seen
            .filter_map(|vm| vm.stats.observed_service_time())
            .collect();
        if service_times.is_empty() {
            return None;
        }
        let middle = service_times.len() / 2;
        let (_, median, _) = service_times.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }
}

/// Indices of the targets inside or outside of the node's availability zone that
/// the node samples from: all of a small pool, otherwise the `limit` targets that
/// rendezvous hashing selects for the node.
fn sampled_targets(
    config: &TargetMapConfig,
    targets: &[Arc<TargetVm>],
    same_zone: bool,
    limit: usize,
) -> Vec<usize> {
    let seed = xxh3_64_with_seed(config.node.as_str().as_bytes(), 0);
    let weight =
        |index: &usize| xxh3_64_with_seed(targets[*index].target.as_str().as_bytes(), seed);
    let mut members: Vec<usize> = (0..targets.len())
        .filter(|index| targets[*index].same_zone == same_zone)
        .collect();
    if members.len() > limit {
        members.sort_by_cached_key(weight);
        members.truncate(limit);
    }
    members
}
