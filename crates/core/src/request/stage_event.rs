use bytes::Bytes;

use super::{AnswerLabel, TargetRefusal};
use crate::{clock::TimeSpan, ids::AttemptNumber};

/// What happened to an attempt. `via` is the attempt whose connection brought
/// the news; the label is what the target wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageEvent {
    /// The whole result of a unary stage.
    UnaryResult {
        /// Attempt whose connection brought it.
        via: AttemptNumber,
        /// Where it says that it belongs.
        label: AnswerLabel,
        /// The result.
        body: Bytes,
    },
    /// Tokens of a stream.
    Chunk(StageChunk),
    /// The explicit end of a stream.
    End {
        /// Attempt whose connection brought it.
        via: AttemptNumber,
        /// Where it says that it belongs.
        label: AnswerLabel,
        /// Tokens from offset 0 to the end.
        tokens: u64,
    },
    /// The target says that it failed.
    Failed {
        /// The attempt.
        via: AttemptNumber,
    },
    /// The target says that the input is at fault.
    BadInput {
        /// The attempt.
        via: AttemptNumber,
    },
    /// The target says that it did not run the call.
    Refused {
        /// The attempt.
        via: AttemptNumber,
        /// Proof of it.
        refusal: TargetRefusal,
        /// When the target wants to be asked again.
        retry_after: Option<TimeSpan>,
    },
    /// No connection came about; no byte was written.
    NotConnected {
        /// The attempt.
        via: AttemptNumber,
    },
    /// The connection broke or brought something unreadable.
    ConnectionLost {
        /// The attempt.
        via: AttemptNumber,
    },
    /// The attempt made too little progress.
    TimedOut {
        /// The attempt.
        via: AttemptNumber,
    },
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// The caller has hung up.
    CallerGone,
}

/// Tokens of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChunk {
    /// Attempt whose connection brought them.
    pub via: AttemptNumber,
    /// Where they say that they belong.
    pub label: AnswerLabel,
    /// Tokens before these.
    pub offset: u64,
    /// Number of tokens.
    pub tokens: u64,
    /// Their text.
    pub text: Bytes,
}
