use std::sync::Arc;

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{AttemptNumber, TargetId},
    policy::routing::{
        InFlightGuard, PoolStats, PromptPrefix, RouteObjective, RouteRequest, RoutingMode,
        TargetPool,
    },
    records::{StageKind, StageSpec},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::CallerRequest;
use crate::process::admission::route_objective;

/// Approximate number of prompt bytes that an engine processes per millisecond
/// if it has no cached prefix.
const PROMPT_BYTES_PER_MS: u64 = 500;

/// Chooses targets for the attempts at one stage.
#[derive(Debug)]
pub(super) struct TargetChooser {
    pool: Option<Arc<TargetPool>>,
    mode: RoutingMode,
    objective: RouteObjective,
    prefix: PromptPrefix,
    prompt_time: TimeSpan,
    tried: Vec<TargetId>,
}

impl TargetChooser {
    pub(super) fn new(
        pool: Option<Arc<TargetPool>>,
        mode: RoutingMode,
        request: &CallerRequest,
        stage: &StageSpec,
        input: &[u8],
    ) -> Self {
        let prefix = match &stage.kind {
            StageKind::Generate { model, .. } => {
                PromptPrefix::of(input, xxh3_64_with_seed(model.as_str().as_bytes(), 0))
            }
            _ => PromptPrefix::none(),
        };
        Self {
            pool,
            mode,
            objective: route_objective(request.pipeline.objective),
            prefix,
            prompt_time: TimeSpan::from_millis(input.len() as u64 / PROMPT_BYTES_PER_MS),
            tried: Vec::new(),
        }
    }

    /// Statistics of the pool. `None` if the pool has no targets.
    pub(super) fn stats(&self) -> Option<&Arc<PoolStats>> {
        self.pool.as_ref().map(|pool| pool.stats())
    }

    /// Chooses a target, preferring those that have not been tried for this
    /// stage.
    pub(super) fn choose(
        &mut self,
        request: &CallerRequest,
        stage: &StageSpec,
        attempt: AttemptNumber,
        now: ClockTime,
    ) -> Option<InFlightGuard> {
        let pool = self.pool.as_ref()?;
        let model = match &stage.kind {
            StageKind::Generate { model, .. } => Some(model),
            _ => None,
        };
        let mut route = RouteRequest {
            seed: xxh3_64_with_seed(request.id.as_str().as_bytes(), attempt.get()),
            mode: self.mode,
            objective: self.objective,
            model,
            prefix: &self.prefix,
            prompt_time: self.prompt_time,
            tried: &self.tried,
        };
        let untried = pool.choose(&route, now);
        let flight = untried.or_else(|| {
            route.tried = &[];
            pool.choose(&route, now)
        })?;
        let target_id = flight.vm().stats.short_id();
        pool.stats()
            .cache_hints
            .record_prompt(target_id, &self.prefix, now);
        self.tried.push(flight.vm().target.clone());
        Some(flight)
    }
}
