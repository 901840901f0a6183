use serde::{Deserialize, Serialize};

use super::{FeedState, HandoverRecord, MemberRank, MemberRecord};
use crate::feed::{FeedDelta, FeedKind, RepairItems, RepairList};

/// The reply to a gossip call, with piggybacked membership and feed state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipReply {
    /// Member record of the callee.
    pub from: MemberRecord,
    /// Rank that the callee holds for the caller, if it is larger than the one
    /// in the call.
    pub doubt: Option<MemberRank>,
    /// Digest over the member records that the callee holds.
    pub table: u64,
    /// Digest over the handovers that the callee knows.
    pub facts: u64,
    /// State of the callee's feed replicas, in the order of [`FeedKind::ALL`].
    pub feeds: [FeedState; 2],
    /// Piggybacked member records.
    pub members: Vec<MemberRecord>,
    /// Piggybacked ticket handovers.
    pub handovers: Vec<HandoverRecord>,
    /// Changes of feeds, requested or piggybacked.
    pub deltas: Vec<(FeedKind, FeedDelta)>,
    /// The answer to the request.
    pub answer: GossipAnswer,
}

/// The answer to the request of a gossip call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipAnswer {
    /// Acknowledges a request that has no further result.
    Done,
    /// Result of an indirect probe.
    Relayed {
        /// Whether the third node replied.
        reached: bool,
    },
    /// Member records in the buckets that differ.
    Members(Vec<MemberRecord>),
    /// All handovers that the callee knows.
    Handovers(Vec<HandoverRecord>),
    /// Differences between the two replicas of a feed.
    Listed(RepairList),
    /// Items of a feed requested by the caller.
    Fetched(RepairItems),
}
