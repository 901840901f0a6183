use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::RevisionNumber;

/// Version of a replica. Replicas with equal versions have the same keys with
/// the same values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FeedVersion {
    /// Revision up to which the replica is complete.
    pub revision: RevisionNumber,
    /// Digest over all keys that are not deleted. Does not depend on the order of
    /// changes.
    pub digest: u64,
}

impl fmt::Display for FeedVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{:016x}", self.revision, self.digest)
    }
}
