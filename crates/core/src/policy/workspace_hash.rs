use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::WorkspaceId;

/// Number under which a workspace's shares are kept: a hash of its identifier.
///
/// Two workspaces with the same number would share one part, which harms no
/// promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkspaceHash(u64);

impl WorkspaceHash {
    /// The highest number.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates the number of a workspace.
    #[must_use]
    pub fn of(workspace: &WorkspaceId) -> Self {
        Self(xxh3_64(workspace.as_str().as_bytes()))
    }

    /// The number itself.
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
