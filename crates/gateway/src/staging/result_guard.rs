use verbenahub_core::staging::GraphProgress;

use crate::process::Shared;

/// The stages of a request with their results, which are given up with it.
#[derive(Debug)]
pub struct ResultGuard {
    shared: Shared,
    request: String,
    /// How far the stages have come.
    pub progress: GraphProgress,
}

impl ResultGuard {
    /// Guards the results of a request's stages.
    #[must_use]
    pub fn new(shared: Shared, request: &str, progress: GraphProgress) -> Self {
        Self {
            shared,
            request: request.to_owned(),
            progress,
        }
    }

    /// Gives up results that nothing needs any more.
    pub fn free_unneeded(&mut self) {
        for (service, names) in self.progress.take_unneeded() {
            let results = &self.shared.result_releaser;
            results.free(&self.shared, &self.request, service, names);
        }
    }
}

impl Drop for ResultGuard {
    fn drop(&mut self) {
        for (service, names) in self.progress.take_all() {
            let results = &self.shared.result_releaser;
            results.free(&self.shared, &self.request, service, names);
        }
    }
}
