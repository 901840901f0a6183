use std::{cell::Cell, rc::Rc};

/// Counts work in progress. Clones share one count.
#[derive(Clone, Debug, Default)]
pub struct WorkCounter {
    in_progress: Rc<Cell<usize>>,
}

/// Counts one unit of work until it is dropped.
#[derive(Debug)]
pub struct WorkGuard {
    in_progress: Rc<Cell<usize>>,
}

impl WorkCounter {
    /// Counts a unit of work until the returned guard is dropped.
    #[must_use]
    pub fn begin(&self) -> WorkGuard {
        self.in_progress.set(self.in_progress.get() + 1);
        WorkGuard {
            in_progress: Rc::clone(&self.in_progress),
        }
    }

    /// Number of units of work in progress.
    #[must_use]
    pub fn count(&self) -> usize {
        self.in_progress.get()
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.in_progress
            .set(self.in_progress.get().saturating_sub(1));
    }
}
