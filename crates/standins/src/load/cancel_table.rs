use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_channel::{Receiver, Sender};

use crate::server::RunLabel;

/// The attempts in execution or in the queue that can be cancelled.
#[derive(Debug, Default)]
pub struct CancelTable {
    entries: Mutex<HashMap<RunLabel, Sender<()>>>,
}

/// One attempt in the table; leaves the table when dropped.
#[derive(Debug)]
pub struct CancelGuard {
    table: Arc<CancelTable>,
    label: RunLabel,
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl CancelTable {
    /// Enters an attempt.
    #[must_use]
    pub fn enter(self: &Arc<Self>, label: RunLabel) -> CancelGuard {
        let (sender, receiver) = async_channel::bounded(1);
        self.entries().insert(label.clone(), sender.clone());
        CancelGuard {
            table: self.clone(),
            label,
            sender,
            receiver,
        }
    }

    /// Cancels an attempt; says whether it was there.
    pub fn cancel(&self, label: &RunLabel) -> bool {
        self.entries().get(label).is_some_and(Sender::close)
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<RunLabel, Sender<()>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CancelGuard {
    /// Waits until the attempt is cancelled.
    pub async fn cancelled(&self) {
        while self.receiver.recv().await.is_ok() {}
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let mut entries = self.table.entries();
        let own = entries
            .get(&self.label)
            .is_some_and(|sender| sender.same_channel(&self.sender));
        if own {
            entries.remove(&self.label);
        }
    }
}
