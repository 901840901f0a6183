use std::{cell::Cell, rc::Rc};

use super::AnswerShare;

/// Bounds the memory for answers that are read whole, so that targets which
/// send bytes without end can't exhaust the VM.
#[derive(Clone, Debug, Default)]
pub struct AnswerRoom {
    taken: Rc<Cell<usize>>,
}

impl AnswerRoom {
    /// The share of an answer that has no bytes yet.
    #[must_use]
    pub fn share(&self) -> AnswerShare {
        AnswerShare::new(Rc::clone(&self.taken))
    }
}
