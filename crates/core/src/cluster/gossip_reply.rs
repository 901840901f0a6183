use serde::{Deserialize, Serialize};

use super::{FeedState, HandoverRecord, MemberRank, MemberRecord};
use crate::feed::{FeedDelta, FeedKind, RepairItems, RepairList};

/// The reply to a gossip call, with piggybacked membership and feed state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipReply {
    /// Member record of the callee.
    pub from: MemberRecord,
    /// Rank that the callee holds for the caller, if it is larger than the one
    /// that the caller states in the call. The caller refutes it with a larger
    /// rank or, if it is of a later incarnation, stops accepting requests.
    pub doubt: Option<MemberRank>,
    /// Digest over the callee's table of member records, its own included. If it
    /// differs from the caller's, the caller requests the records that differ.
    pub table: u64,
    /// Digest over all ticket handovers that the callee knows. If it differs
    /// from the caller's, the caller requests them.
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
