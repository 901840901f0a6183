use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::WorkspaceId;

/// Hash of a workspace's identifier, the key of its rate limit and of its queue
/// for admission.
///
/// Two workspaces with the same hash would share one rate limit and one queue, and
/// together get what a single workspace gets. If their limits are equal, neither
/// exceeds its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkspaceHash(u64);

impl WorkspaceHash {
    /// The highest hash.
    pub const MAX: Self = Self(u64::MAX);

    /// Hashes the identifier of a workspace.
    #[must_use]
    pub fn of(workspace: &WorkspaceId) -> Self {
        Self(xxh3_64(workspace.as_str().as_bytes()))
    }

    /// The numeric value.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for WorkspaceHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
