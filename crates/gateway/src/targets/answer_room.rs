use std::{cell::Cell, rc::Rc};

/// Bytes of answers of targets that are held together while they are read.
/// A fifth of the memory of the smallest VMs, and forty thousand usual answers.
const ROOM_BYTES: usize = 32 << 20;

/// Bounds the memory for answers that are read whole, so that targets which
/// send bytes without end can't exhaust the VM.
#[derive(Clone, Debug, Default)]
pub struct AnswerRoom {
    taken: Rc<Cell<usize>>,
}

/// The part of the room that one answer takes. Given back when it is dropped.
#[derive(Debug)]
pub struct AnswerShare {
    taken: Rc<Cell<usize>>,
    own: usize,
}

impl AnswerRoom {
    /// The share of an answer that has no bytes yet.
    #[must_use]
    pub fn share(&self) -> AnswerShare {
        AnswerShare {
            taken: Rc::clone(&self.taken),
            own: 0,
        }
    }
}

impl AnswerShare {
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
