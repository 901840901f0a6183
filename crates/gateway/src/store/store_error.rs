use std::io;

use thiserror::Error;
use verbenahub_core::targets::CallFailure;
use verbenahub_platform::WireError;

use crate::http::{BodyError, HeadError};

/// Status of a call beyond the rate limit for readers.
const STATUS_TOO_MANY_REQUESTS: u16 = 429;

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The connection could not be opened, or the response is not valid HTTP.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// The connection ended before the end of the response.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    /// The connection ended during a watch.
    #[error("watch cut: {0}")]
    WatchCut(String),
    /// The store did not respond in time.
    #[error("no response in time")]
    Timeout,
    /// The store responded with an unexpected status.
    #[error("status {0}")]
    Status(u16),
    /// The requested changes have been compacted away.
    #[error("requested changes have been compacted")]
    HistoryCompacted,
    /// The store was restored from a backup since the read began.
    #[error("the store was restored")]
    Restored,
    /// The response is from before a restore of the store that is already known.
    #[error("response from before the last restore")]
    StaleEra,
    /// The store repeats a page of a listing instead of continuing after it.
    #[error("a page of the listing was repeated")]
    RepeatedPage,
    /// The body of the response can't be decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
}

impl StoreError {
    /// What the error tells about the store.
    #[must_use]
    pub const fn failure(&self) -> CallFailure {
        match self {
            Self::WatchCut(_) => CallFailure::WatchCut,
            Self::Status(STATUS_TOO_MANY_REQUESTS) => CallFailure::RateLimited,
            _ => CallFailure::Unavailable,
        }
    }

    /// The error of a watch that failed with this error.
    #[must_use]
    pub fn during_watch(self) -> Self {
        match self {
            Self::ConnectionLost(reason) => Self::WatchCut(reason),
            other => other,
        }
    }
}

impl From<io::Error> for StoreError {
    fn from(error: io::Error) -> Self {
        Self::ConnectionLost(error.to_string())
    }
}

impl From<HeadError> for StoreError {
    fn from(error: HeadError) -> Self {
        match error {
            HeadError::Io(_) | HeadError::Truncated => Self::ConnectionLost(error.to_string()),
            _ => Self::Unreachable(error.to_string()),
        }
    }
}

impl From<BodyError> for StoreError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Io(_) | BodyError::Truncated => Self::ConnectionLost(error.to_string()),
            _ => Self::Unreachable(error.to_string()),
        }
    }
}
