use std::io;

use thiserror::Error;
use verbenahub_core::protocol::FramingError;

/// Why the head of a message can't be used.
#[derive(Debug, Error)]
pub enum HeadError {
    /// The connection broke.
    #[error("connection broke: {0}")]
    Io(#[from] io::Error),
    /// The connection ended inside the head.
    #[error("connection ended inside a head")]
    Truncated,
    /// The head is larger than allowed.
    #[error("head of more than {0} bytes")]
    TooLarge(usize),
    /// More interim responses than any server sends.
    #[error("interim responses without end")]
    Interim,
    /// The head is not HTTP/1.1.
    #[error("not HTTP/1.1: {0}")]
    Syntax(#[from] httparse::Error),
    /// The head says in more than one way, or in none that counts, where its
    /// body ends.
    #[error("ambiguous body: {0}")]
    Framing(#[from] FramingError),
}
