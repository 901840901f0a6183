use thiserror::Error;

/// Why a call to another process gave no response.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[error("no connection: {0}")]
    NotConnected(std::io::Error),
    /// The connection was not opened in time, so nothing was sent.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection broke after the call may have been sent.
    #[error("the connection broke: {0}")]
    ConnectionLost(String),
    /// No response came in time after the call may have been sent.
    #[error("no response in time")]
    Timeout,
}

impl CallError {
    /// Whether it is certain that no byte of the call was sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::NotConnected(_) | Self::ConnectTimeout)
    }
}
