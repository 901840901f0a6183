use std::net::SocketAddr;

use super::{CallId, GossipCall, GossipReply, ReplyToken};
use crate::{
    clock::TimeSpan,
    feed::{FeedItem, FeedKind, FeedVersion},
    ids::RevisionNumber,
};

/// An action that the driver of a cluster machine must perform.
#[derive(Clone, Debug)]
pub enum ClusterAction {
    /// Call another node, then report the reply or the failure.
    Call {
        /// Identifies the call in the event that reports its result.
        id: CallId,
        /// Internal address of the callee.
        address: SocketAddr,
        /// How long to wait for the reply.
        timeout: TimeSpan,
        /// The call to send.
        call: Box<GossipCall>,
    },
    /// Reply to another node's call.
    Reply {
        /// Identifies the call to reply to.
        token: ReplyToken,
        /// The reply to send.
        reply: Box<GossipReply>,
    },
    /// Refuse a call whose sender uses this node's own identifier.
    Refuse {
        /// Identifies the call to refuse.
        token: ReplyToken,
    },
    /// Read a feed from the platform, then report the page or the failure.
    ReadFeed {
        /// The feed to read.
        feed: FeedKind,
        /// Revision after which changes are requested.
        after: RevisionNumber,
        /// How long the platform may hold the call open for a change.
        wait: TimeSpan,
    },
    /// Pass changed items of a feed to the other components of the node. An
    /// item without a value was deleted.
    FeedChanged {
        /// The feed that changed.
        feed: FeedKind,
        /// Version of the replica after the change.
        version: FeedVersion,
        /// The changed items.
        items: Vec<FeedItem>,
    },
    /// Log an occurrence.
    Note(ClusterNote),
}

/// An occurrence worth logging for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClusterNote {
    /// Changes of a feed were rejected.
    FeedRefused {
        /// The feed whose changes were rejected.
        feed: FeedKind,
        /// Human-readable reason.
        reason: String,
    },
    /// The process did not run for longer than the pause threshold.
    Paused {
        /// Time without any event.
        span: TimeSpan,
    },
    /// Another process with a later incarnation uses this node's identifier.
    Superseded,
}
