use thiserror::Error;

use crate::ids::RevisionNumber;

/// Reason for which a replica rejects changes. The replica stays unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FeedError {
    /// Changes between the revision of the replica and the first one received
    /// are missing.
    #[error(
        "changes start after revision {after}, but the replica is complete only up to revision {complete_up_to}"
    )]
    Gap {
        /// Revision after which the changes start.
        after: RevisionNumber,
        /// Revision up to which the replica is complete.
        complete_up_to: RevisionNumber,
    },
    /// A value exceeds the maximum size of a value.
    #[error("value of key `{key}` has {length} bytes, which exceeds the limit of {limit} bytes")]
    ValueTooLarge {
        /// Key of the value.
        key: String,
        /// Size of the value, in bytes.
        length: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// The replica would exceed its maximum size.
    #[error("feed would grow to {bytes} bytes, which exceeds the limit of {limit} bytes")]
    FeedTooLarge {
        /// Size of the feed with the changes, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
}
