use super::{PoolStats, RouteObjective, RouteRequest, TargetVm};
use crate::{clock::ClockTime, policy::numbers};

/// Extra time of a call to another zone, in milliseconds.
const ZONE_TIME_MS: f64 = 2.0;
/// Share of the service time that a fully used target adds.
const USE_SHARE: f64 = 0.5;

/// Weights of the parts of a score.
struct ScoreWeights {
    wait: f64,
    work: f64,
    zone: f64,
}

const ATTAINMENT_WEIGHTS: ScoreWeights = ScoreWeights {
    wait: 1.0,
    work: 2.0,
    zone: 1.0,
};
const COST_WEIGHTS: ScoreWeights = ScoreWeights {
    wait: 0.5,
    work: 3.0,
    zone: 4.0,
};

/// Predicted time and cost of a call to a target, in weighted milliseconds;
/// lower is better. `cached` is the share of the prompt thought to be cached.
pub(super) fn route_score(
    vm: &TargetVm,
    pool: &PoolStats,
    ask: &RouteRequest<'_>,
    cached: f64,
    now: ClockTime,
) -> f64 {
    let weights = match ask.objective {
        RouteObjective::Attainment => &ATTAINMENT_WEIGHTS,
        RouteObjective::Cost => &COST_WEIGHTS,
    };
    let service = vm.stats.predicted_service(pool);
    let wait = predicted_wait(vm, pool, now);
    let prompt = numbers::millis(ask.prompt_time) * (1.0 - cached);
    let zone = if vm.near { 0.0 } else { ZONE_TIME_MS };
    let penalty = vm.stats.health().penalty(&pool.health_rule, now);
    let time = weights.wait * wait + service + weights.work * prompt + weights.zone * zone;
    time * penalty
}

/// Time that a call waits at the target or loses to other calls, in
/// milliseconds.
pub(super) fn predicted_wait(vm: &TargetVm, pool: &PoolStats, now: ClockTime) -> f64 {
    let service = vm.stats.predicted_service(pool);
    let capacity = f64::from(vm.capacity());
    let load = vm.stats.predicted_load(pool, now) + 1.0;
    let queued = (load - capacity).max(0.0);
    let used = load.min(capacity) / capacity;
    service * (queued / capacity + USE_SHARE * used)
}
