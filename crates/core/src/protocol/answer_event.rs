use serde::{Deserialize, Serialize};

use super::{AnswerOutcome, ErrorBody};
use crate::ids::RequestId;

/// One line of a streamed response to a caller.
///
/// A response is complete only if its last line is an `end` event with outcome
/// `done`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum AnswerEvent {
    /// The next part of the response.
    Chunk {
        /// Number of tokens before this part.
        offset: u64,
        /// Number of tokens in this part.
        tokens: u64,
        /// Text of this part.
        text: String,
    },
    /// The last line of a complete response.
    End {
        /// Id of the request.
        request: RequestId,
        /// Always `done`.
        outcome: AnswerOutcome,
        /// Number of tokens in the complete response.
        tokens: u64,
    },
    /// The last line of an incomplete response.
    Error(ErrorBody),
}
