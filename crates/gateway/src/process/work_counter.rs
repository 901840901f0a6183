use std::{cell::Cell, rc::Rc};

/// Counts work in progress.
#[derive(Clone, Debug, Default)]
pub struct WorkCounter {
    open: Rc<Cell<usize>>,
}

/// One piece of work, counted for as long as it lives.
#[derive(Debug)]
pub struct WorkGuard {
    open: Rc<Cell<usize>>,
}

impl WorkCounter {
    /// Counts a piece of work until the guard is dropped.
    #[must_use]
    pub fn begin(&self) -> WorkGuard {
        self.open.set(self.open.get() + 1);
        WorkGuard {
            open: Rc::clone(&self.open),
        }
    }

    /// Work in progress.
    #[must_use]
    pub fn count(&self) -> usize {
        self.open.get()
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}
