use std::io;

use thiserror::Error;
use verbenahub_core::protocol::FramingError;

/// Why the head of a message could not be read.
#[derive(Debug, Error)]
pub enum HeadError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection was closed before the end of the head.
    #[error("connection ended inside a head")]
    Truncated,
    /// The head exceeds the limit, in bytes.
    #[error("head exceeds {0} bytes")]
    TooLarge(usize),
    /// The server sent too many interim (1xx) responses.
    #[error("too many interim responses")]
    TooManyInterimResponses,
    /// The status is neither that of a final response nor that of an interim one.
    #[error("invalid status {0:03}")]
    InvalidStatus(u16),
    /// An interim response has a body.
    #[error("interim response {0} with a body")]
    InterimBody(u16),
    /// The head is not valid HTTP/1.x.
    #[error("malformed head: {0}")]
    Syntax(#[from] httparse::Error),
    /// The headers that frame the body are ambiguous or invalid.
    #[error("ambiguous body framing: {0}")]
    Framing(#[from] FramingError),
}
