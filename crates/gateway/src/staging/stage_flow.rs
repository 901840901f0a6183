use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use smol::Task;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    engines::ZoneResults,
    ids::{PoolName, ZoneName},
    routes::{RouteConfig, RouteSpec},
    staging::{GraphProgress, PathEstimate},
    units::ByteSize,
};
use verbenahub_platform::{PieceInput, result_producer};

use super::{ResultGuard, StageAnswer, StageAsk};
use crate::process::Shared;

/// Size in bytes from which results should be made where they are read. The
/// way of smaller ones costs less than waiting for a target.
const LARGE_RESULTS: u64 = 1_000_000;

/// Part of a result's lifetime that is left unused: it began at the target
/// before the news of it was here.
const EXPIRY_MARGIN: TimeSpan = TimeSpan::from_millis(300);

/// Why the stages of a request brought no results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageFailure {
    /// There is no time for them; none was begun.
    Refused {
        /// When there will be.
        retry_after: TimeSpan,
    },
    /// A stage failed.
    Failed(String),
}

/// The results of a request's stages.
#[derive(Debug)]
pub struct StageOutput {
    /// Names of the results that the request itself reads.
    pub inputs: Vec<String>,
    /// Where they lie, that of the most first.
    pub results: Vec<ZoneResults>,
    /// Gives the results up when it is dropped.
    pub guard: ResultGuard,
}

/// Runs the stages of one request.
#[derive(Debug)]
pub struct StageFlow<'a> {
    /// State of the process.
    pub shared: &'a Shared,
    /// Configuration with which the request began.
    pub config: &'a RouteConfig,
    /// Its route.
    pub route: &'a RouteSpec,
    /// Its identifier.
    pub request: &'a str,
    /// Key of its pieces.
    pub key: &'a str,
    /// Pieces of each stage.
    pub pieces: &'a [u32],
    /// Zone of the target that should run it, if one is better than others.
    pub home: Option<ZoneName>,
    /// When its answer must begin to meet its goal.
    pub goal_at: ClockTime,
    /// When it must be over.
    pub dead_at: ClockTime,
    /// Whether its stages have run before. An engine has worked for it, so
    /// that it isn't turned away for others.
    pub is_repeat: bool,
}

impl StageFlow<'_> {
    /// Runs all stages, those at the same time that don't need each other.
    /// Dropping the future ends the work.
    ///
    /// # Errors
    ///
    /// Fails when there is no time for them, or a stage fails.
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
                let ask = self.ask(&guard.progress, stage, &estimate, is_first);
                let (shared, done) = (Shared::clone(self.shared), done.clone());
                tasks.push(self.shared.tasks.spawn_owned(async move {
                    let answer = shared.stages.run(&shared, ask).await;
                    // The receiver is gone with its request.
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
                    guard.free_spent();
                }
                StageAnswer::Refused { retry_after, .. } => {
                    return Err(StageFailure::Refused { retry_after });
                }
                // The last collector that is asked may not say so.
                StageAnswer::Moved { .. } => {
                    return Err(StageFailure::Failed("no collector".to_owned()));
                }
                StageAnswer::Failed { reason } => return Err(StageFailure::Failed(reason)),
            }
        }
        let inputs = guard.progress.final_results();
        Ok(StageOutput {
            results: self.by_zone(guard.progress.final_results_sized()),
            inputs,
            guard,
        })
    }

    fn estimate(&self) -> PathEstimate {
        let now = self.shared.now();
        PathEstimate::new(&self.route.stages, self.pieces, |stage| {
            let service = self.config.stage_service(&stage.service)?;
            let backlog = self.shared.stages.backlog(&stage.service, now);
            Some((service, backlog))
        })
    }

    /// Refuses a request whose stages can't be done in its time.
    fn admit(&self, estimate: &PathEstimate) -> Result<(), StageFailure> {
        let now = self.shared.now();
        let end = now + estimate.total();
        if end <= self.dead_at {
            return Ok(());
        }
        let retry_after = self.dead_at.until(end);
        slog::info!(self.shared.log, "request: Refused, its stages take too long.";
            "request" => self.request, "estimate" => %estimate.total(),
            "left" => %now.until(self.dead_at), "retry_after" => %retry_after);
        Err(StageFailure::Refused { retry_after })
    }

    fn ask(
        &self,
        progress: &GraphProgress,
        stage: usize,
        estimate: &PathEstimate,
        is_first: bool,
    ) -> StageAsk {
        let now = self.shared.now();
        let after = estimate.time_after(stage);
        let expiry = progress.next_expiry();
        let dead_at = expiry.map_or(self.dead_at, |expiry| expiry.min(self.dead_at));
        let spec = &self.route.stages[stage];
        let input = if spec.after.is_empty() {
            PieceInput::Key(self.key.to_owned())
        } else {
            PieceInput::Results(progress.inputs(stage))
        };
        StageAsk {
            service: spec.service.clone(),
            request: self.request.to_owned(),
            stage,
            pieces: progress.pieces(stage),
            piece_bytes: spec.result_bytes,
            home: self.home_of(progress, stage),
            priority: self.route.priority,
            followers: self.followers(stage),
            input,
            goal_left: now.until(self.goal_at - after),
            dead_left: now.until(dead_at - after),
            refusable: is_first && !self.is_repeat,
            movable: true,
        }
    }

    /// When the results of a stage that ends now should have been read.
    fn expiry(&self, stage: usize) -> ClockTime {
        let now = self.shared.now();
        let service = self.config.stage_service(&self.route.stages[stage].service);
        service.map_or(self.dead_at, |service| {
            now + service.result_lifetime.saturating_sub(EXPIRY_MARGIN)
        })
    }

    /// Services of all stages that need a stage's results, directly or not.
    fn followers(&self, stage: usize) -> Vec<PoolName> {
        let mut reached = vec![stage];
        let mut services = Vec::new();
        for (place, spec) in self.route.stages.iter().enumerate() {
            if spec.after.iter().any(|before| reached.contains(before)) {
                reached.push(place);
                services.push(spec.service.clone());
            }
        }
        services
    }

    /// Zone in which the pieces of a stage are best made. Each piece reads all
    /// results of the stages before, so these decide if there are any; else the
    /// zone in which the request itself will read them.
    fn home_of(&self, progress: &GraphProgress, stage: usize) -> Option<ZoneName> {
        let spec = &self.route.stages[stage];
        let pieces = u64::from(progress.pieces(stage));
        let read = self.by_zone(progress.inputs_sized(stage));
        if let Some(most) = read.first() {
            let sizes = read.iter().map(|results| results.size.as_bytes());
            let is_large = sizes.sum::<u64>() * pieces >= LARGE_RESULTS;
            return is_large.then(|| most.zone.clone());
        }
        let is_large = pieces * spec.result_bytes >= LARGE_RESULTS;
        self.home.clone().filter(|_| is_large)
    }

    /// The zones of the makers of some results, that of the most first. Empty if
    /// the maker of one isn't known.
    fn by_zone<'a, Results>(&self, results: Results) -> Vec<ZoneResults>
    where
        Results: Iterator<Item = (&'a str, u64)>,
    {
        let registry = self.shared.registry.borrow();
        let zone_of = |name| {
            let maker = result_producer(name)?;
            let mut records = registry.records();
            let record = records.find(|record| record.address == maker)?;
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
