use std::{cell::Cell, rc::Rc};

/// Maximum memory for all buffered responses together. A fifth of the memory of
/// the smallest VMs; enough for forty thousand typical responses.
const MAX_RESPONSE_MEMORY_BYTES: usize = 32 << 20;

/// Memory reserved for one response. Released when dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    reserved: Rc<Cell<usize>>,
    size: usize,
}

impl MemoryReservation {
    /// Creates an empty reservation. `reserved` counts the bytes of all
    /// reservations.
    pub(super) const fn new(reserved: Rc<Cell<usize>>) -> Self {
        Self { reserved, size: 0 }
    }

    /// Reserves more bytes. Returns false, and reserves nothing, if that would
    /// exceed the limit.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let reserved = self.reserved.get() + bytes;
        if reserved > MAX_RESPONSE_MEMORY_BYTES {
            return false;
        }
        self.reserved.set(reserved);
        self.size += bytes;
        true
    }

    /// Changes the size of the reservation. Returns false, and changes nothing, if a
    /// larger one would exceed the limit.
    pub fn resize(&mut self, size: usize) -> bool {
        if let Some(more) = size.checked_sub(self.size) {
            return self.grow(more);
        }
        self.reserved.set(self.reserved.get() - (self.size - size));
        self.size = size;
        true
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get() - self.size);
    }
}
