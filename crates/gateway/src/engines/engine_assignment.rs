use std::sync::Arc;

use verbenahub_core::{
    engines::{PromptProgress, PromptStep},
    ids::NodeId,
    targets::TargetRecord,
};

use crate::process::Shared;

/// A request for which an engine was chosen. Reports the request's progress to
/// the node that chose the engine, and its end when dropped.
#[derive(Debug)]
pub struct EngineAssignment {
    shared: Shared,
    chooser: NodeId,
    record: Arc<TargetRecord>,
    request: String,
    final_step: PromptStep,
}

impl EngineAssignment {
    pub(super) fn new(
        shared: &Shared,
        chooser: NodeId,
        record: Arc<TargetRecord>,
        request: &str,
    ) -> Self {
        Self {
            shared: Shared::clone(shared),
            chooser,
            record,
            request: request.to_owned(),
            final_step: PromptStep::Ended,
        }
    }

    /// The node that chose the engine.
    #[must_use]
    pub const fn chooser(&self) -> &NodeId {
        &self.chooser
    }

    /// Record of the engine.
    #[must_use]
    pub const fn record(&self) -> &Arc<TargetRecord> {
        &self.record
    }

    /// Reports that the engine has read the prompt.
    pub fn report_read(&self) {
        self.report(PromptStep::Read);
    }

    /// Ends the assignment with a more specific step than [`PromptStep::Ended`].
    pub fn finish(mut self, step: PromptStep) {
        self.final_step = step;
    }

    fn report(&self, step: PromptStep) {
        let news = PromptProgress {
            request: self.request.clone(),
            engine: self.record.id.clone(),
            started_at: self.record.started_at,
            step,
        };
        let engines = &self.shared.engines;
        engines.report(&self.shared, &self.chooser, &self.record.service, news);
    }
}

impl Drop for EngineAssignment {
    fn drop(&mut self) {
        self.report(self.final_step);
    }
}
