use std::sync::Arc;

use super::SlotQueue;

/// A slot that is given back when the guard is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    queue: Option<Arc<SlotQueue>>,
}

impl SlotGuard {
    pub(super) fn new(queue: Arc<SlotQueue>) -> Self {
        let queue = Some(queue);
        Self { queue }
    }

    /// A guard that holds no slot.
    pub(super) fn none() -> Self {
        Self { queue: None }
    }

    /// Drops the guard without giving the slot back.
    pub(super) fn disarm(mut self) {
        self.queue = None;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.take() {
            queue.release();
        }
    }
}
