use verbenahub_core::{
    engines::PromptEnd,
    ids::{NodeId, PoolName},
};

use crate::process::Shared;

/// A prompt that an engine was chosen for. The node that chose is told when it
/// ends.
#[derive(Debug)]
pub struct PromptPlace {
    shared: Shared,
    chooser: NodeId,
    service: PoolName,
    request: String,
    end: PromptEnd,
}

impl PromptPlace {
    pub(super) fn new(shared: &Shared, chooser: NodeId, service: PoolName, request: &str) -> Self {
        Self {
            shared: Shared::clone(shared),
            chooser,
            service,
            request: request.to_owned(),
            end: PromptEnd::Dropped,
        }
    }

    /// Ends it.
    pub fn finish(mut self, end: PromptEnd) {
        self.end = end;
    }
}

impl Drop for PromptPlace {
    fn drop(&mut self) {
        let request = std::mem::take(&mut self.request);
        let engines = &self.shared.engines;
        engines.note(
            &self.shared,
            &self.chooser,
            &self.service,
            request,
            self.end,
        );
    }
}
