use verbenahub_core::staging::GraphProgress;

use crate::process::Shared;

/// Owns the results of a request's stages. Those that still exist are freed when
/// the guard is dropped.
#[derive(Debug)]
pub struct ResultGuard {
    shared: Shared,
    request: String,
    /// Progress of the stages, with the results that are still held.
    pub progress: GraphProgress,
}

impl ResultGuard {
    /// Creates the guard of a request.
    #[must_use]
    pub fn new(shared: Shared, request: &str, progress: GraphProgress) -> Self {
        Self {
            shared,
            request: request.to_owned(),
            progress,
        }
    }

    /// Frees results that neither a stage nor the request itself needs any more.
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
