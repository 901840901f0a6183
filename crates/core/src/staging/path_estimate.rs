use super::QueueBacklog;
use crate::{
    clock::TimeSpan,
    policy::numbers,
    routes::{GraphStage, StageService},
};

/// Usual time from an engine's start on a request to its first event: waiting,
/// reading the prompt, one step.
const FIRST_EVENT_MS: f64 = 150.0;
/// Usual part of a full call that a set of pieces waits for its own to start.
const WAIT_SHARE: f64 = 0.3;

/// By how much the time of a branch is taken longer than expected: about the
/// wait for a target that has room, so that the others seldom wait for it.
const BRANCH_LEAD: f64 = 1.8;

/// What the stages of a request are expected to take.
#[derive(Clone, Debug, PartialEq)]
pub struct PathEstimate {
    /// Time from the end of each stage to the answer's first event.
    after: Vec<f64>,
    /// Time of each stage and all that comes after it.
    through: Vec<f64>,
    /// Time of all stages.
    total: f64,
}

impl PathEstimate {
    /// Estimates the time of a request's stages. `known` gives what is known
    /// of the service of a stage: how it works, and its backlog.
    #[must_use]
    pub fn new<Known>(stages: &[GraphStage], pieces: &[u32], known: Known) -> Self
    where
        Known: Fn(&GraphStage) -> Option<(StageService, QueueBacklog)>,
    {
        let own: Vec<f64> = stages
            .iter()
            .zip(pieces)
            .map(|(stage, count)| {
                let service = known(stage).filter(|_| *count > 0);
                service.map_or(0.0, |(service, backlog)| {
                    stage_ms(&service, *count, backlog)
                })
            })
            .collect();
        let mut after = vec![FIRST_EVENT_MS; stages.len()];
        // Stages only follow stages before them.
        for stage in (0..stages.len()).rev() {
            let through = own[stage] + after[stage];
            for before in &stages[stage].after {
                after[*before] = after[*before].max(through);
            }
        }
        let through: Vec<f64> = own
            .iter()
            .zip(&after)
            .map(|(own, after)| own + after)
            .collect();
        let total = through.iter().copied().fold(FIRST_EVENT_MS, f64::max);
        Self {
            after,
            through,
            total,
        }
    }

    /// Whether a stage should start while the stages in `unfinished`, itself
    /// among them, are to be done. Results that are needed only at the end take
    /// room until then, so the stages of a short branch wait for those of a
    /// long one.
    #[must_use]
    pub fn is_due(&self, stage: usize, unfinished: &[usize]) -> bool {
        let through = |stage: usize| self.through.get(stage).copied().unwrap_or_default();
        let left = unfinished.iter().map(|stage| through(*stage));
        through(stage) * BRANCH_LEAD >= left.fold(0.0, f64::max)
    }

    /// Time from the end of a stage to the first event.
    #[must_use]
    pub fn time_after(&self, stage: usize) -> TimeSpan {
        numbers::span(self.after.get(stage).copied().unwrap_or_default())
    }

    /// Time from the start of the stages to the first event.
    #[must_use]
    pub fn total(&self) -> TimeSpan {
        numbers::span(self.total)
    }
}

fn stage_ms(service: &StageService, pieces: u32, backlog: QueueBacklog) -> f64 {
    let pieces = usize::try_from(pieces).unwrap_or(usize::MAX);
    let own = service.call_time(pieces.min(service.batch));
    let wait = service.call_time(service.batch) * WAIT_SHARE;
    // Calls are shared: a small set waits for the pieces of others as well.
    let call = own.max(numbers::millis(backlog.call));
    call + wait.max(numbers::millis(backlog.on_time))
}
