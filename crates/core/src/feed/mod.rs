//! Replicas of the feeds that the platform publishes.
//!
//! Every node keeps a full copy of each feed. A replica is a join-semilattice:
//! merging changes in any order, with stale or repeated input, gives the same
//! state, and no key ever reverts to an older revision.

mod bucket_digests;
mod feed_assembly;
mod feed_change;
mod feed_delta;
mod feed_error;
mod feed_index;
mod feed_item;
mod feed_kind;
mod feed_limits;
mod feed_repair;
mod feed_replica;
mod feed_version;
mod replica_repair;

pub use self::{
    bucket_digests::{BUCKET_COUNT, BucketDigests},
    feed_assembly::FeedAssembly,
    feed_change::FeedChange,
    feed_delta::FeedDelta,
    feed_error::FeedError,
    feed_item::FeedItem,
    feed_kind::FeedKind,
    feed_limits::FeedLimits,
    feed_repair::{RepairFetch, RepairItems, RepairList, RepairPlan},
    feed_replica::FeedReplica,
    feed_version::FeedVersion,
};
