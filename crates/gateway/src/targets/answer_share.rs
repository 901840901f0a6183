use std::{cell::Cell, rc::Rc};

/// Bytes of answers of targets that are held together while they are read.
/// A fifth of the memory of the smallest VMs, and forty thousand usual answers.
const ROOM_BYTES: usize = 32 << 20;

/// The part of the room that one answer takes. Given back when it is dropped.
#[derive(Debug)]
pub struct AnswerShare {
    taken: Rc<Cell<usize>>,
    own: usize,
}

impl AnswerShare {
    /// A share without bytes of a room of which so many are taken.
    pub(super) const fn new(taken: Rc<Cell<usize>>) -> Self {
        Self { taken, own: 0 }
    }

    /// Takes room for more bytes. Returns whether there is any.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let taken = self.taken.get() + bytes;
        if taken > ROOM_BYTES {
            return false;
        }
        self.taken.set(taken);
        self.own += bytes;
        true
    }
}

impl Drop for AnswerShare {
    fn drop(&mut self) {
        self.taken.set(self.taken.get() - self.own);
    }
}
