use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use smol::Task;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    engines::ZoneResults,
    ids::{PoolName, WorkspaceName, ZoneName},
    routes::{RouteConfig, RouteSpec},
    staging::{GraphProgress, PathEstimate},
    units::ByteSize,
};
use verbenahub_platform::{PieceInput, result_producer};

use super::{ResultGuard, StageAnswer, StageRequest};
use crate::process::Shared;

/// Size in bytes from which results are preferably produced in the zone in which
/// they will be read. The transfer of smaller ones costs less than the wait for a
/// target there.
const LARGE_RESULT_BYTES: u64 = 1_000_000;

/// Part of a result's lifetime that is not used: it starts at the target, before
/// this node learns of the result.
const EXPIRY_MARGIN: TimeSpan = TimeSpan::from_millis(300);

/// Why the stages of a request produced no results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageFailure {
    /// There is not enough time for them. None was started.
    Refused {
        /// Time after which to try again.
        retry_after: TimeSpan,
    },
    /// A stage failed, for the given reason.
    Failed(String),
}

/// Results of a request's stages.
#[derive(Debug)]
pub struct StageOutput {
    /// Names of the results that the request itself reads.
    pub inputs: Vec<String>,
    /// Their total size in each zone, largest first. Empty if the target of a
    /// result is not registered.
    pub results_by_zone: Vec<ZoneResults>,
    /// Frees the results when it is dropped.
    pub guard: ResultGuard,
}

/// Runs the stages of one request.
#[derive(Debug)]
pub struct StageFlow<'a> {
    /// State of the process.
    pub shared: &'a Shared,
    /// Configuration at the start of the request.
    pub config: &'a RouteConfig,
    /// Route of the request.
    pub route: &'a RouteSpec,
    /// Workspace of the caller, if it has one.
    pub workspace: Option<&'a WorkspaceName>,
    /// Identifier of the request.
    pub request: &'a str,
    /// Key from which the stages without inputs produce their pieces.
    pub key: &'a str,
    /// Number of pieces of each stage.
    pub pieces: &'a [u32],
    /// Preferred zone of the target that runs the request itself, if there is one.
    pub preferred_zone: Option<ZoneName>,
    /// When the answer must begin for the request to meet its latency goal.
    pub goal_at: ClockTime,
    /// When the answer must begin at the latest.
    pub deadline: ClockTime,
    /// Whether the stages have run before. An engine has already worked for the
    /// request, so it is not refused in favour of others.
    pub is_repeat: bool,
}

impl StageFlow<'_> {
    /// Runs all stages, concurrently where they do not depend on each other.
    /// Dropping the future cancels them.
    ///
    /// # Errors
    ///
    /// Fails if there is not enough time for the stages, or if one of them fails.
    pub async fn run(&self) -> Result<StageOutput, StageFailure> {
        let stages = Arc::from(self.route.stages.as_slice());
        let progress = GraphProgress::new(stages, self.pieces)
            .ok_or_else(|| StageFailure::Failed("pieces don't fit the stages".to_owned()))?;
        let mut guard = ResultGuard::new(Shared::clone(self.shared), self.request, progress);
        let estimate = self.estimate();
        self.admit(&estimate)?;
        let (done, ended) = async_channel::unbounded();
        let mut tasks: Vec<Task<()>> = Vec::new();
        let mut is_first = true;
        loop {
            for stage in guard.progress.take_ready(&estimate) {
                let request = self.stage_request(&guard.progress, stage, &estimate, is_first);
                let (shared, done) = (Shared::clone(self.shared), done.clone());
                tasks.push(self.shared.tasks.spawn_owned(async move {
                    let answer = shared.stage_client.run(&shared, request).await;
                    // Fails if the request has been dropped.
                    let _ = done.send((stage, answer)).await;
                }));
            }
            if guard.progress.is_done() {
                break;
            }
            is_first = false;
            let Ok((stage, answer)) = ended.recv().await else {
                return Err(StageFailure::Failed("stages ended early".to_owned()));
            };
            match answer {
                StageAnswer::Done { results, .. } => {
                    let expires = self.expiry(stage);
                    guard.progress.finish(stage, results, expires);
                    guard.free_unneeded();
                }
                StageAnswer::Refused { retry_after, .. } => {
                    return Err(StageFailure::Refused { retry_after });
                }
                // Not expected: the last collector that is asked may not answer this.
                StageAnswer::Moved { .. } => {
                    return Err(StageFailure::Failed("no collector".to_owned()));
                }
                StageAnswer::Failed { reason } => return Err(StageFailure::Failed(reason)),
            }
        }
        let inputs = guard.progress.final_results();
        Ok(StageOutput {
            results_by_zone: self.sizes_by_zone(guard.progress.final_results_sized()),
            inputs,
            guard,
        })
    }

    fn estimate(&self) -> PathEstimate {
        let now = self.shared.now();
        PathEstimate::new(&self.route.stages, self.pieces, |stage| {
            let service = self.config.stage_service(&stage.service)?;
            let backlog = self.shared.stage_client.backlog(&stage.service, now);
            Some((service, backlog))
        })
    }

    /// Refuses the request if its stages are not expected to finish in time.
    fn admit(&self, estimate: &PathEstimate) -> Result<(), StageFailure> {
        let now = self.shared.now();
        let end = now + estimate.total();
        if end <= self.deadline {
            return Ok(());
        }
        let retry_after = self.deadline.until(end);
        slog::info!(self.shared.log, "request: Refused, its stages take too long.";
            "request" => self.request, "estimate" => %estimate.total(),
            "left" => %now.until(self.deadline), "retry_after" => %retry_after);
        Err(StageFailure::Refused { retry_after })
    }

    fn stage_request(
        &self,
        progress: &GraphProgress,
        stage: usize,
        estimate: &PathEstimate,
        is_first: bool,
    ) -> StageRequest {
        let now = self.shared.now();
        let after = estimate.time_after(stage);
        let expiry = progress.next_expiry();
        let deadline = expiry.map_or(self.deadline, |expiry| expiry.min(self.deadline));
        let spec = &self.route.stages[stage];
        let input = if spec.after.is_empty() {
            PieceInput::Key(self.key.to_owned())
        } else {
            PieceInput::Results(progress.inputs(stage))
        };
        StageRequest {
            service: spec.service.clone(),
            request: self.request.to_owned(),
            stage,
            pieces: progress.pieces(stage),
            piece_bytes: spec.result_bytes,
            home: self.stage_zone(progress, stage),
            priority: self.route.priority,
            followers: self.downstream_services(stage),
            input,
            goal_left: now.until(self.goal_at - after),
            dead_left: now.until(deadline - after),
            refusable: is_first && !self.is_repeat,
            movable: true,
            route: self.route.name.clone(),
            workspace: self.workspace.map(ToString::to_string).unwrap_or_default(),
        }
    }

    /// Returns when the results of a stage that ends now must have been read.
    fn expiry(&self, stage: usize) -> ClockTime {
        let now = self.shared.now();
        let service = self.config.stage_service(&self.route.stages[stage].service);
        service.map_or(self.deadline, |service| {
            now + service.result_lifetime.saturating_sub(EXPIRY_MARGIN)
        })
    }

    /// Returns the services of all stages that depend on a stage, directly or not.
    fn downstream_services(&self, stage: usize) -> Vec<PoolName> {
        let mut dependents = vec![stage];
        let mut services = Vec::new();
        for (index, spec) in self.route.stages.iter().enumerate() {
            if spec.after.iter().any(|before| dependents.contains(before)) {
                dependents.push(index);
                services.push(spec.service.clone());
            }
        }
        services
    }

    /// Returns the zone in which the pieces of a stage are best produced, if their
    /// transfers are large enough to matter. Each piece reads all results of the
    /// stages before it, so the zone with most of these is preferred. A stage that
    /// reads none prefers the zone in which the request itself will read its
    /// results.
    fn stage_zone(&self, progress: &GraphProgress, stage: usize) -> Option<ZoneName> {
        let spec = &self.route.stages[stage];
        let pieces = u64::from(progress.pieces(stage));
        let read = self.sizes_by_zone(progress.inputs_sized(stage));
        if let Some(most) = read.first() {
            let sizes = read.iter().map(|results| results.size.as_bytes());
            let is_large = sizes.sum::<u64>() * pieces >= LARGE_RESULT_BYTES;
            return is_large.then(|| most.zone.clone());
        }
        let is_large = pieces * spec.result_bytes >= LARGE_RESULT_BYTES;
        self.preferred_zone.clone().filter(|_| is_large)
    }

    /// Returns the total size of results in each zone, largest first. Empty if the
    /// target that holds one of them is not registered.
    fn sizes_by_zone<'a, Results>(&self, results: Results) -> Vec<ZoneResults>
    where
        Results: Iterator<Item = (&'a str, u64)>,
    {
        let registry = self.shared.registry.borrow();
        let zone_of = |name| {
            let address = result_producer(name)?;
            let mut records = registry.records();
            let record = records.find(|record| record.address == address)?;
            Some(record.zone.clone())
        };
        let mut sizes: BTreeMap<ZoneName, u64> = BTreeMap::new();
        for (name, bytes) in results {
            let Some(zone) = zone_of(name) else {
                return Vec::new();
            };
            *sizes.entry(zone).or_default() += bytes;
        }
        let zones = sizes.into_iter().map(|(zone, bytes)| ZoneResults {
            zone,
            size: ByteSize::from_bytes(bytes),
        });
        let mut zones: Vec<_> = zones.collect();
        zones.sort_by_key(|results| Reverse(results.size));
        zones
    }
}
