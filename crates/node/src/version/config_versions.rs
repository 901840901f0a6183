use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use verbenahub_core::{
    config::{ConfigSnapshot, ConfigState},
    protocol::FeedEntry,
};

/// The records in force. Readers take a snapshot without locking.
#[derive(Debug)]
pub struct ConfigVersions {
    state: Mutex<ConfigState>,
    current: ArcSwap<ConfigSnapshot>,
}

impl Default for ConfigVersions {
    fn default() -> Self {
        let state = ConfigState::new();
        let current = ArcSwap::new(state.snapshot());
        Self {
            state: Mutex::new(state),
            current,
        }
    }
}

impl ConfigVersions {
    /// Applies changed entries and publishes a new snapshot of the records.
    pub fn apply(&self, entries: &[FeedEntry]) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in entries {
            state.apply(entry);
        }
        self.current.store(state.snapshot());
    }

    /// The current snapshot of the records in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }
}
