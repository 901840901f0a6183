use std::{
    mem,
    sync::{Mutex, PoisonError},
};

use async_channel::{Receiver, Sender};

/// Wakes all waiting watches.
#[derive(Debug, Default)]
pub struct ChangeSignal {
    sleepers: Mutex<Vec<Sender<()>>>,
}

impl ChangeSignal {
    /// Registers a watch; the channel closes at the next change.
    #[must_use]
    pub fn register(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut sleepers = self.sleepers.lock().unwrap_or_else(PoisonError::into_inner);
        sleepers.retain(|sleeper| !sleeper.is_closed());
        sleepers.push(sender);
        receiver
    }

    /// Wakes all that have registered.
    pub fn notify(&self) {
        let mut sleepers = self.sleepers.lock().unwrap_or_else(PoisonError::into_inner);
        drop(mem::take(&mut *sleepers));
    }
}
