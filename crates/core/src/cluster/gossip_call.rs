use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{FeedState, HandoverRecord, MemberRank, MemberRecord};
use crate::{
    feed::{BucketDigests, FeedDelta, FeedKind, RepairFetch},
    ids::{NodeId, RevisionNumber},
};

/// A request from one node to another, with piggybacked membership and feed
/// state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipCall {
    /// Member record of the caller.
    pub from: MemberRecord,
    /// Rank that the caller holds for the callee, if it considers the callee
    /// suspect or dead. The callee can then refute it with a larger rank.
    pub doubt: Option<MemberRank>,
    /// Digest over the caller's table of member records, its own included.
    pub table: u64,
    /// Digest over all ticket handovers that the caller knows. The reply
    /// piggybacks handovers only if the callee's digest differs.
    pub facts: u64,
    /// State of the caller's feed replicas, in the order of [`FeedKind::ALL`].
    pub feeds: [FeedState; 2],
    /// Piggybacked member records.
    pub members: Vec<MemberRecord>,
    /// Piggybacked ticket handovers.
    pub handovers: Vec<HandoverRecord>,
    /// The request itself: what the callee is to do or to return.
    pub ask: GossipAsk,
}

/// The request of a gossip call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipAsk {
    /// Check that the callee is alive, and return small deltas of the feeds in
    /// which the caller is behind.
    Probe,
    /// Probe a third node that the caller could not reach.
    Relay {
        /// The node to probe.
        node: NodeId,
        /// Internal address of that node.
        address: SocketAddr,
    },
    /// Return all member records in the buckets that differ.
    Members {
        /// Bucket digests of the caller's member table.
        digests: BucketDigests,
    },
    /// Return all known handovers.
    Handovers,
    /// Return the changes of a feed after a revision.
    Pull {
        /// The feed to read.
        feed: FeedKind,
        /// Revision up to which the caller is complete.
        after: RevisionNumber,
    },
    /// Apply changes of a feed.
    Push {
        /// The feed that changed.
        feed: FeedKind,
        /// The changes to apply.
        delta: FeedDelta,
    },
    /// List the differences between two replicas of a feed.
    Compare {
        /// The feed to compare.
        feed: FeedKind,
        /// Bucket digests of the caller's replica.
        digests: BucketDigests,
    },
    /// Exchange the items of a feed that differ.
    Fetch {
        /// The feed to repair.
        feed: FeedKind,
        /// Digests of the requested items, and items offered by the caller.
        fetch: RepairFetch,
    },
}
