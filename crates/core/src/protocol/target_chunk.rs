use serde::{Deserialize, Serialize};

use crate::ids::{AttemptNumber, RequestId};

/// One line of the stream that an engine sends to a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "chunk", rename_all = "snake_case")]
pub enum TargetChunk {
    /// The next tokens.
    Tokens {
        /// The request that the tokens belong to.
        request: RequestId,
        /// The attempt that the tokens belong to.
        attempt: AttemptNumber,
        /// Number of tokens before these ones.
        offset: u64,
        /// Number of tokens in `text`.
        tokens: u64,
        /// The text of the tokens.
        text: String,
    },
    /// The last line of a complete stream.
    End {
        /// The request that the stream belongs to.
        request: RequestId,
        /// The attempt that the stream belongs to.
        attempt: AttemptNumber,
        /// Total number of tokens, counted from offset 0.
        tokens: u64,
    },
    /// The last line of a stream that failed at the engine.
    Failed {
        /// The request that the stream belongs to.
        request: RequestId,
        /// The attempt that the stream belongs to.
        attempt: AttemptNumber,
        /// Human-readable reason.
        message: String,
    },
}
