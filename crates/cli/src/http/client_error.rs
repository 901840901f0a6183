use std::{io, net::SocketAddr};

use thiserror::Error;

/// Why a node gave no usable answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// There is no connection. Nothing was sent.
    #[error("no connection to {node}: {source}")]
    Connect {
        /// The node.
        node: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The connection broke, or what came is not HTTP. The call may have been
    /// taken.
    #[error("the connection to {node} broke: {message}")]
    Broken {
        /// The node.
        node: SocketAddr,
        /// Why.
        message: String,
    },
    /// The answer has more bytes than the tool takes.
    #[error("the answer of {node} has more than {limit} bytes")]
    TooLarge {
        /// The node.
        node: SocketAddr,
        /// Bytes allowed.
        limit: u64,
    },
    /// No answer came in time. The call may have been taken.
    #[error("{node} gave no answer in time")]
    Timeout {
        /// The node.
        node: SocketAddr,
    },
}

impl ClientError {
    /// Whether the node may have taken the call.
    #[must_use]
    pub const fn may_have_been_sent(&self) -> bool {
        !matches!(self, Self::Connect { .. })
    }
}
