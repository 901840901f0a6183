use std::{cell::Cell, rc::Rc};

use super::MemoryReservation;

/// Bounds the memory for answers that are read whole, so that targets which
/// send bytes without end can't exhaust the VM.
#[derive(Clone, Debug, Default)]
pub struct ResponseMemory {
    reserved: Rc<Cell<usize>>,
}

impl ResponseMemory {
    /// The share of an answer that has no bytes yet.
    #[must_use]
    pub fn reserve(&self) -> MemoryReservation {
        MemoryReservation::new(Rc::clone(&self.reserved))
    }
}
