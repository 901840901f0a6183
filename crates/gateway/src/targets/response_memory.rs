use std::{cell::Cell, rc::Rc};

use super::MemoryReservation;

/// Limits the memory for responses that are buffered completely, so that
/// targets that never stop sending can't exhaust the memory of the VM.
#[derive(Clone, Debug, Default)]
pub struct ResponseMemory {
    reserved: Rc<Cell<usize>>,
}

impl ResponseMemory {
    /// Creates an empty reservation for one response.
    #[must_use]
    pub fn reserve(&self) -> MemoryReservation {
        MemoryReservation::new(Rc::clone(&self.reserved))
    }
}
