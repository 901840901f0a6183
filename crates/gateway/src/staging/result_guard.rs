use verbenahub_core::staging::GraphProgress;

use crate::process::Shared;

/// The stages of a request with their results, which are given up with it.
#[derive(Debug)]
pub struct ResultGuard {
    shared: Shared,
    /// How far the stages have come.
    pub progress: GraphProgress,
}

impl ResultGuard {
    /// Guards the results of a request's stages.
    #[must_use]
    pub const fn new(shared: Shared, progress: GraphProgress) -> Self {
        Self { shared, progress }
    }

    /// Gives up results that nothing needs any more.
    pub fn free_spent(&mut self) {
        let spent = self.progress.take_spent();
        self.shared.results.free(&self.shared, spent);
    }

    /// Gives up all results.
    pub fn free_all(&mut self) {
        let names = self.progress.take_all();
        self.shared.results.free(&self.shared, names);
    }
}

impl Drop for ResultGuard {
    fn drop(&mut self) {
        self.free_all();
    }
}
