use std::net::SocketAddr;

use serde::Serialize;
use verbenahub_core::protocol::NodeStatus;

/// What one node says about itself, or why it says nothing.
#[derive(Clone, Debug, Serialize)]
pub struct NodeReply {
    /// Address that was asked.
    pub address: SocketAddr,
    /// What came.
    #[serde(flatten)]
    pub state: ReplyState,
}

/// What came from a node.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyState {
    /// Its state.
    Status(Box<NodeStatus>),
    /// Nothing usable.
    Error(String),
}

impl NodeReply {
    /// The state of the node, if it gave one.
    #[must_use]
    pub fn status(&self) -> Option<&NodeStatus> {
        match &self.state {
            ReplyState::Status(status) => Some(status),
            ReplyState::Error(_) => None,
        }
    }
}
