use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{FeedItem, FeedVersion};
use crate::ids::RevisionNumber;

/// Digests of the sender's items in the buckets in which two replicas differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepairList {
    /// Version of the sender's replica.
    pub version: FeedVersion,
    /// Floor of the sender's replica: an item that the sender lacks was deleted
    /// if its revision is not later than this one.
    pub floor: RevisionNumber,
    /// Buckets that the list covers.
    pub buckets: Vec<u8>,
    /// Digests of all items of the sender in these buckets.
    pub digests: Vec<u64>,
}

/// The next steps of a repair, decided from another node's [`RepairList`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RepairPlan {
    /// Request to send to the other node.
    pub fetch: RepairFetch,
    /// Items that were deleted according to the other node, by key and digest.
    pub(super) removals: Vec<(Arc<str>, u64)>,
}

/// Requests items by their digests, and offers the items that the other node
/// lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepairFetch {
    /// Revision up to which the sender has discarded its tombstones.
    pub floor: RevisionNumber,
    /// Buckets to which the digests belong.
    pub buckets: Vec<u8>,
    /// Digests of the requested items.
    pub wanted: Vec<u64>,
    /// Items that the other node lacks.
    pub offered: Vec<FeedItem>,
}

/// The answer to a [`RepairFetch`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepairItems {
    /// Version of the sender's replica.
    pub version: FeedVersion,
    /// Revision up to which the sender has discarded its tombstones.
    pub floor: RevisionNumber,
    /// Whether items were left out because of the size limit.
    pub more: bool,
    /// The requested items, and tombstones for offered items that were deleted.
    pub items: Vec<FeedItem>,
}
