use std::{cell::Cell, rc::Rc};

/// Bytes of answers of targets that are held together while they are read.
/// A fifth of the memory of the smallest VMs, and forty thousand usual answers.
const MAX_RESPONSE_MEMORY_BYTES: usize = 32 << 20;

/// The part of the room that one answer takes. Given back when it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    reserved: Rc<Cell<usize>>,
    own: usize,
}

impl MemoryReservation {
    /// A share without bytes of a room of which so many are reserved.
    pub(super) const fn new(reserved: Rc<Cell<usize>>) -> Self {
        Self { reserved, own: 0 }
    }

    /// Takes room for more bytes. Returns whether there is any.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let reserved = self.reserved.get() + bytes;
        if reserved > MAX_RESPONSE_MEMORY_BYTES {
            return false;
        }
        self.reserved.set(reserved);
        self.own += bytes;
        true
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get() - self.own);
    }
}
