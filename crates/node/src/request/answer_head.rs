use bytes::Bytes;

use super::RequestRefusal;

/// First part of an answer. It determines the status of the HTTP response.
#[derive(Clone, Debug)]
pub enum AnswerHead {
    /// The answer is streamed as lines.
    Stream,
    /// The complete answer.
    Unary(Bytes),
    /// The request was rejected or failed before any output.
    Error(RequestRefusal),
}
