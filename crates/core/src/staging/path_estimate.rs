use super::QueueBacklog;
use crate::{
    clock::TimeSpan,
    policy::numbers,
    routes::{GraphStage, StageService},
};

/// Typical time from the start of a request at an engine to its first event:
/// waiting, reading the prompt, one step.
const FIRST_EVENT_MS: f64 = 150.0;
/// Typical wait of a set of pieces for its call, as a fraction of a full call.
const WAIT_SHARE: f64 = 0.3;

/// Factor on the expected time of a branch when deciding whether to start it. It
/// covers about the wait for a target with room, so that the other branches
/// seldom wait for this one.
const BRANCH_LEAD: f64 = 1.8;

/// Expected duration of the stages of a request and of the paths through them.
#[derive(Clone, Debug, PartialEq)]
pub struct PathEstimate {
    /// Longest time from the end of each stage to the answer's first event, in
    /// milliseconds.
    time_after: Vec<f64>,
    /// Longest time from the start of each stage to the first event, in
    /// milliseconds.
    critical_path: Vec<f64>,
    /// Longest time over all paths to the first event, in milliseconds.
    total: f64,
}

impl PathEstimate {
    /// Estimates the stages of a request that needs `pieces` of each. `lookup`
    /// returns the service of a stage and its backlog. A stage without pieces, or
    /// whose service is unknown, takes no time.
    #[must_use]
    pub fn new<Lookup>(stages: &[GraphStage], pieces: &[u32], lookup: Lookup) -> Self
    where
        Lookup: Fn(&GraphStage) -> Option<(StageService, QueueBacklog)>,
    {
        let own_ms: Vec<f64> = stages
            .iter()
            .zip(pieces)
            .map(|(stage, count)| {
                let service = lookup(stage).filter(|_| *count > 0);
                service.map_or(0.0, |(service, backlog)| {
                    stage_ms(&service, *count, backlog)
                })
            })
            .collect();
        let mut time_after = vec![FIRST_EVENT_MS; stages.len()];
        // A stage depends only on stages with smaller indices.
        for stage in (0..stages.len()).rev() {
            let critical_path = own_ms[stage] + time_after[stage];
            for predecessor in &stages[stage].after {
                time_after[*predecessor] = time_after[*predecessor].max(critical_path);
            }
        }
        let critical_path: Vec<f64> = own_ms
            .iter()
            .zip(&time_after)
            .map(|(own_ms, time_after)| own_ms + time_after)
            .collect();
        let total = critical_path.iter().copied().fold(FIRST_EVENT_MS, f64::max);
        Self {
            time_after,
            critical_path,
            total,
        }
    }

    /// Whether a stage should start now, given the `unfinished` stages, which
    /// include it. Results that are needed only at the end occupy room until then,
    /// so the stages of a short branch start later than those of a long one.
    #[must_use]
    pub fn is_due(&self, stage: usize, unfinished: &[usize]) -> bool {
        let critical_path =
            |stage: usize| self.critical_path.get(stage).copied().unwrap_or_default();
        let left = unfinished.iter().map(|stage| critical_path(*stage));
        critical_path(stage) * BRANCH_LEAD >= left.fold(0.0, f64::max)
    }

    /// Expected time from the end of a stage to the answer's first event.
    #[must_use]
    pub fn time_after(&self, stage: usize) -> TimeSpan {
        numbers::span(self.time_after.get(stage).copied().unwrap_or_default())
    }

    /// Expected time from the start of the stages to the answer's first event.
    #[must_use]
    pub fn total(&self) -> TimeSpan {
        numbers::span(self.total)
    }
}

fn stage_ms(service: &StageService, pieces: u32, backlog: QueueBacklog) -> f64 {
    let pieces = usize::try_from(pieces).unwrap_or(usize::MAX);
    let own_ms = service.call_time(pieces.min(service.batch));
    let wait = service.call_time(service.batch) * WAIT_SHARE;
    // Calls are shared: a small set also waits for the other pieces in its call.
    let call = own_ms.max(numbers::millis(backlog.call));
    call + wait.max(numbers::millis(backlog.on_time))
}
