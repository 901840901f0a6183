use thiserror::Error;
use verbenahub_core::units::ByteSize;

/// An error while reading the body of a request or a response.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body exceeds the size limit.
    #[error("the body is larger than {0}")]
    TooLarge(ByteSize),
    /// The body ended before its declared length.
    #[error("the body ended after {received} of {expected} bytes")]
    Truncated {
        /// Declared length in bytes.
        expected: usize,
        /// Received length in bytes.
        received: usize,
    },
    /// The body did not arrive within the timeout.
    #[error("the body did not arrive in time")]
    Timeout,
    /// Reading from the connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
}
