use thiserror::Error;
use verbenahub_platform::WireError;

/// Why a call to the store brought nothing.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No connection, or it broke.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// No answer came in time.
    #[error("no answer in time")]
    Timeout,
    /// The store answered with another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// The changes that were asked for are no longer kept.
    #[error("history is gone")]
    HistoryCompacted,
    /// The store has come back from a copy since the read began.
    #[error("the store was restored")]
    Restored,
    /// The answer is from before the store came back from a copy.
    #[error("answer of an era that is over")]
    StaleEra,
    /// The answer can't be read.
    #[error(transparent)]
    Wire(#[from] WireError),
}
