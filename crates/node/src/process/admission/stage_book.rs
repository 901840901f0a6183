use std::sync::Arc;

use verbenahub_core::{
    ids::{PipelineName, StageName},
    policy::admission::StageTimes,
};

use crate::process::GrowingMap;

/// Learned times of the stages of all pipelines, for the life of the process.
#[derive(Debug, Default)]
pub struct StageBook {
    times: GrowingMap<StageKey, StageTimes>,
}

/// A stage of a pipeline, whichever generation of its record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StageKey {
    pipeline: PipelineName,
    stage: StageName,
}

impl StageBook {
    /// The times of a stage; empty ones for a stage seen for the first time.
    #[must_use]
    pub fn times(&self, pipeline: &PipelineName, stage: &StageName) -> Arc<StageTimes> {
        self.times.get(&StageKey {
            pipeline: pipeline.clone(),
            stage: stage.clone(),
        })
    }

    /// Lets old times fade. To be called about every 10 s.
    pub fn fade(&self) {
        self.times.for_each(StageTimes::decay);
    }
}
