use std::sync::Arc;

use verbenahub_core::{
    engines::{PromptProgress, PromptStep},
    ids::NodeId,
    targets::TargetRecord,
};

use crate::process::Shared;

/// A request that an engine was chosen for. The node that chose is told how it
/// goes on, and of its end when this is dropped.
#[derive(Debug)]
pub struct PromptPlace {
    shared: Shared,
    chooser: NodeId,
    record: Arc<TargetRecord>,
    request: String,
    end: PromptStep,
}

impl PromptPlace {
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
            end: PromptStep::Ended,
        }
    }

    /// The node that chose the engine.
    #[must_use]
    pub const fn chooser(&self) -> &NodeId {
        &self.chooser
    }

    /// The engine.
    #[must_use]
    pub const fn record(&self) -> &Arc<TargetRecord> {
        &self.record
    }

    /// Tells that the engine has read the prompt.
    pub fn note_read(&self) {
        self.tell(PromptStep::Read);
    }

    /// Ends it with a step that says more of the engine than that it is over.
    pub fn finish(mut self, end: PromptStep) {
        self.end = end;
    }

    fn tell(&self, step: PromptStep) {
        let news = PromptProgress {
            request: self.request.clone(),
            engine: self.record.id.clone(),
            started_at: self.record.started_at,
            step,
        };
        let engines = &self.shared.engines;
        engines.note(&self.shared, &self.chooser, &self.record.service, news);
    }
}

impl Drop for PromptPlace {
    fn drop(&mut self) {
        self.tell(self.end);
    }
}
