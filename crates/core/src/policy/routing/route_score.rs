use super::{PoolStats, RouteObjective, RouteRequest, TargetVm};
use crate::{clock::ClockTime, policy::numbers};

/// Additional latency of a call to another availability zone, in milliseconds.
const CROSS_ZONE_LATENCY_MS: f64 = 2.0;
/// Delay at a fully utilized target without a queue, as a share of the service
/// time.
const UTILIZATION_DELAY: f64 = 0.5;

/// Weights of the components of a score.
struct ScoreWeights {
    wait: f64,
    prompt: f64,
    zone: f64,
}

const ATTAINMENT_WEIGHTS: ScoreWeights = ScoreWeights {
    wait: 1.0,
    prompt: 2.0,
    zone: 1.0,
};
const COST_WEIGHTS: ScoreWeights = ScoreWeights {
    wait: 0.5,
    prompt: 3.0,
    zone: 4.0,
};

/// Predicted time and cost of a call to a target, in weighted milliseconds. Lower
/// is better. `cached` is the share of the prompt, from 0 to 1, that the target
/// has probably cached.
pub(super) fn route_score(
    vm: &TargetVm,
    pool: &PoolStats,
    request: &RouteRequest<'_>,
    cached: f64,
    now: ClockTime,
) -> f64 {
    let weights = match request.objective {
        RouteObjective::Attainment => &ATTAINMENT_WEIGHTS,
        RouteObjective::Cost => &COST_WEIGHTS,
    };
    let service_time = vm.stats.predicted_service_time(pool);
    let wait = predicted_wait(vm, pool, now);
    let prompt = numbers::millis(request.prompt_time) * (1.0 - cached);
    let zone = if vm.same_zone {
        0.0
    } else {
        CROSS_ZONE_LATENCY_MS
    };
    let penalty = vm.stats.health().penalty(&pool.health_rule, now);
    let time = weights.wait * wait + service_time + weights.prompt * prompt + weights.zone * zone;
    time * penalty
}

/// Predicted delay of a call by other calls at the target, queued or running, in
/// milliseconds.
pub(super) fn predicted_wait(vm: &TargetVm, pool: &PoolStats, now: ClockTime) -> f64 {
    let service_time = vm.stats.predicted_service_time(pool);
    let capacity = f64::from(vm.capacity());
    let load = vm.stats.predicted_load(pool, now) + 1.0;
    let queued = (load - capacity).max(0.0);
    let utilization = load.min(capacity) / capacity;
    service_time * (queued / capacity + UTILIZATION_DELAY * utilization)
}
