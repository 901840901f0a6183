use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use crate::{pool::input_digest, server::RunLabel};

/// Calls that a log keeps.
const LOG_LIMIT: usize = 200_000;

/// All calls that reached a target and were not refused, in order.
#[derive(Debug, Default)]
pub struct RunLog {
    entries: Mutex<Vec<RunEntry>>,
}

/// A call that reached a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEntry {
    /// Which attempt at which stage of which request it was.
    #[serde(flatten)]
    pub label: RunLabel,
    /// Digest of the body.
    pub digest: u64,
}

impl RunLog {
    /// Notes a call.
    pub fn push(&self, label: RunLabel, body: &[u8]) {
        let digest = input_digest(body);
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() < LOG_LIMIT {
            entries.push(RunEntry { label, digest });
        }
    }

    /// All calls.
    #[must_use]
    pub fn entries(&self) -> Vec<RunEntry> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.clone()
    }
}
