use serde::{Deserialize, Serialize};

use crate::{clock::TimeSpan, feed::FeedVersion};

/// State of a node's replica of a feed, sent in each message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedState {
    /// Version of the replica.
    pub version: FeedVersion,
    /// Age of the most recent confirmation by the platform that the node knows
    /// of, its own or a peer's.
    pub confirmed_ago: Option<TimeSpan>,
    /// Whether a transfer of newer changes to the node is already in progress
    /// or expected, so that the receiver need not push them.
    pub awaiting: bool,
}
