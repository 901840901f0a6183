use std::time::Duration;

use super::{LoadSummary, PartStats, SecondCounts};
use crate::load::{LoadPlan, RequestSample, StageCost};

/// Figures of a load while it runs.
#[derive(Clone, Debug)]
pub struct LoadStats {
    parts: Vec<PartFigures>,
    seconds: Vec<SecondCounts>,
    warmup: Duration,
    duration: Duration,
}

#[derive(Clone, Debug)]
struct PartFigures {
    name: String,
    deadline: Duration,
    stats: PartStats,
}

impl LoadStats {
    /// Creates empty figures.
    #[must_use]
    pub fn new(plan: &LoadPlan) -> Self {
        let parts = plan.mix.parts.iter().map(|part| PartFigures {
            name: format!("{}/{}", part.pipeline, part.workspace),
            deadline: part.deadline.into(),
            stats: PartStats::default(),
        });
        Self {
            parts: parts.collect(),
            seconds: Vec::new(),
            warmup: plan.warmup,
            duration: plan.duration,
        }
    }

    /// Adds one request, unless it was due during the warm-up.
    pub fn add(&mut self, sample: &RequestSample) {
        let Some(offset) = sample.due.checked_sub(self.warmup) else {
            return;
        };
        let part = &mut self.parts[sample.part];
        part.stats.add(sample, part.deadline);
        let in_time = sample.total <= part.deadline;
        let second = usize::try_from(offset.as_secs()).unwrap_or(usize::MAX);
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondCounts::default());
        }
        self.seconds[second].add(sample.end, in_time);
    }

    /// Sums everything up.
    #[must_use]
    pub fn sum_up(&self, costs: &[StageCost]) -> LoadSummary {
        let mut all = PartStats::default();
        for part in &self.parts {
            all.merge(&part.stats);
        }
        let parts = self.parts.iter().map(|part| part.stats.sum_up(&part.name));
        let parts = parts.collect();
        LoadSummary::new(
            self.duration,
            all.sum_up("all"),
            parts,
            costs,
            self.seconds.clone(),
        )
    }
}
