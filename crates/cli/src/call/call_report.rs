use std::net::SocketAddr;

use serde::Serialize;
use verbenahub_core::protocol::{AnswerOutcome, ErrorBody};

/// What became of one request, as its caller sees it.
#[derive(Clone, Debug, Serialize)]
pub struct CallReport {
    /// The outcome.
    pub outcome: AnswerOutcome,
    /// Id that the system gave the request.
    pub request: Option<String>,
    /// Node that gave the last answer.
    pub node: Option<SocketAddr>,
    /// Calls made, the first one included.
    pub calls: u32,
    /// Path of the ticket, for a request that runs at most once.
    pub ticket: Option<String>,
    /// Tokens received.
    pub tokens: u64,
    /// Bytes received.
    pub bytes: u64,
    /// What went wrong.
    pub trouble: Option<CallTrouble>,
}

/// What went wrong with a request.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallTrouble {
    /// A node said so.
    Error(ErrorBody),
    /// The answer was not whole or out of order.
    Damaged(String),
    /// The connection broke or no answer came.
    Connection(String),
}

impl CallTrouble {
    /// What went wrong if no node said so with a code.
    #[must_use]
    pub fn into_unsaid(self) -> Option<String> {
        match self {
            Self::Error(_) => None,
            Self::Damaged(message) | Self::Connection(message) => Some(message),
        }
    }

    /// What went wrong, for people.
    #[must_use]
    pub fn message(&self) -> &str {
        match self {
            Self::Error(body) => &body.message,
            Self::Damaged(message) | Self::Connection(message) => message,
        }
    }
}
