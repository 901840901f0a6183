use std::net::SocketAddr;

use super::{MemberRecord, pending_reply::PendingReply};
use crate::{
    clock::ClockTime,
    feed::{FeedKind, RepairPlan},
    ids::NodeId,
};

/// A call made by this node that awaits its reply.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    pub(super) address: SocketAddr,
    pub(super) started: ClockTime,
    pub(super) expires_at: ClockTime,
    pub(super) purpose: CallPurpose,
}

/// Purpose of a call, which decides how its result is processed.
#[derive(Clone, Debug)]
pub(super) enum CallPurpose {
    /// Periodic probe of a member.
    Probe(MemberRecord),
    /// Attempt to contact a dead member or a seed.
    Reconnect,
    /// Request to another node to probe a member that did not reply.
    Relay(NodeId),
    /// Probe on behalf of another node.
    RelayedProbe(PendingReply),
    /// Announcement of a change.
    Announce,
    /// Request for the member records that differ.
    Members,
    /// Request for all handovers.
    Handovers,
    /// Request for changes of a feed.
    Pull(FeedKind),
    /// Transfer of feed changes to the peer.
    Push,
    /// Request for the differences between two replicas of a feed.
    Compare(FeedKind),
    /// Exchange of the items of a feed that differ.
    Fetch(FeedKind, RepairPlan),
}
