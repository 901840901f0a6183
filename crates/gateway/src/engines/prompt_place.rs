use verbenahub_core::{
    engines::PromptStep,
    ids::{NodeId, PoolName},
};

use crate::process::Shared;

/// A request that an engine was chosen for. The node that chose is told how it
/// goes on, and of its end when this is dropped.
#[derive(Debug)]
pub struct PromptPlace {
    shared: Shared,
    chooser: NodeId,
    service: PoolName,
    request: String,
    end: PromptStep,
}

impl PromptPlace {
    pub(super) fn new(shared: &Shared, chooser: NodeId, service: PoolName, request: &str) -> Self {
        Self {
            shared: Shared::clone(shared),
            chooser,
            service,
            request: request.to_owned(),
            end: PromptStep::Ended,
        }
    }

    /// The node that chose the engine.
    #[must_use]
    pub const fn chooser(&self) -> &NodeId {
        &self.chooser
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
        let engines = &self.shared.engines;
        let request = self.request.clone();
        engines.note(&self.shared, &self.chooser, &self.service, request, step);
    }
}

impl Drop for PromptPlace {
    fn drop(&mut self) {
        self.tell(self.end);
    }
}
