use super::{GossipCall, GossipReply};
use crate::{
    feed::FeedKind,
    ids::{IncarnationNumber, NodeId},
    protocol::FeedPage,
};

/// Identifies a call made by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies a call received from another node that awaits its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyToken(pub u64);

/// An event that the driver passes to a cluster machine.
#[derive(Clone, Debug)]
pub enum ClusterEvent {
    /// The periodic timer fired. Sent every [`super::TICK_SPAN`].
    Tick,
    /// A call from another node was received.
    Call {
        /// Identifies the call in the action that replies to it.
        token: ReplyToken,
        /// The received call.
        call: Box<GossipCall>,
    },
    /// The reply to a call of this node was received.
    Reply {
        /// The call that the reply belongs to.
        id: CallId,
        /// The received reply.
        reply: Box<GossipReply>,
    },
    /// A call of this node failed or timed out.
    CallFailed {
        /// The failed call.
        id: CallId,
    },
    /// A read from the platform returned a page.
    FeedRead {
        /// The feed that was read.
        feed: FeedKind,
        /// The received page.
        page: FeedPage,
    },
    /// A read from the platform failed or timed out.
    FeedFailed {
        /// The feed that could not be read.
        feed: FeedKind,
    },
    /// The node begins a graceful shutdown.
    Leave,
    /// The node handed its open tickets over to another process.
    HandOver {
        /// The node that took the tickets over.
        successor: NodeId,
        /// Incarnation of the successor's process.
        incarnation: IncarnationNumber,
    },
}
