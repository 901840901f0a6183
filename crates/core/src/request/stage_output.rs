use bytes::Bytes;

/// The complete result of a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOutput {
    /// Body of a unary result, or all text of a stream.
    pub body: Bytes,
    /// Number of tokens of a stream, zero for a unary result.
    pub tokens: u64,
}
