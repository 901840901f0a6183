use bytes::Bytes;

use super::{AnswerLabel, TargetRefusal};
use crate::{clock::TimeSpan, ids::AttemptNumber};

/// An event that concerns a stage, in most cases one of its attempts. `via` is
/// the attempt on whose connection it occurred; the label is what the target
/// wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageEvent {
    /// The complete result of a unary stage.
    UnaryResult {
        /// Attempt on whose connection it arrived.
        via: AttemptNumber,
        /// Request, stage and attempt that it names.
        label: AnswerLabel,
        /// The result.
        body: Bytes,
    },
    /// Some tokens of a stream.
    Chunk(StageChunk),
    /// The explicit end of a stream.
    End {
        /// Attempt on whose connection it arrived.
        via: AttemptNumber,
        /// Request, stage and attempt that it names.
        label: AnswerLabel,
        /// Total number of tokens of the stream.
        tokens: u64,
    },
    /// The target reported that the call failed.
    Failed {
        /// The attempt.
        via: AttemptNumber,
    },
    /// The target rejected the input as invalid.
    BadInput {
        /// The attempt.
        via: AttemptNumber,
    },
    /// The target reported that it did not run the call.
    Refused {
        /// The attempt.
        via: AttemptNumber,
        /// Proof of the refusal.
        refusal: TargetRefusal,
        /// Delay after which the target accepts a retry.
        retry_after: Option<TimeSpan>,
    },
    /// No connection was established; no byte was written.
    NotConnected {
        /// The attempt.
        via: AttemptNumber,
    },
    /// The connection broke or the response was malformed.
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
    /// The caller has disconnected.
    CallerGone,
}

/// Consecutive tokens of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChunk {
    /// Attempt on whose connection they arrived.
    pub via: AttemptNumber,
    /// Request, stage and attempt that they name.
    pub label: AnswerLabel,
    /// Number of tokens of the stream before these.
    pub offset: u64,
    /// Number of tokens.
    pub tokens: u64,
    /// Their text.
    pub text: Bytes,
}
