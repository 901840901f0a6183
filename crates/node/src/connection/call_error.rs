use thiserror::Error;

/// Why an HTTP call to another process got no response.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[error("no connection: {0}")]
    NotConnected(std::io::Error),
    /// Connecting timed out, so nothing was sent.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection was lost after some of the call may have been sent.
    #[error("the connection broke: {0}")]
    ConnectionLost(String),
    /// The response timed out after some of the call may have been sent.
    #[error("no response in time")]
    Timeout,
}

impl CallError {
    /// Whether no byte of the call was sent, so that it cannot have run.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::NotConnected(_) | Self::ConnectTimeout)
    }
}
