use thiserror::Error;
use verbenahub_platform::WireError;

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The connection could not be opened or was lost, or the response is not
    /// valid HTTP.
    #[error("unreachable: {0}")]
    Unreachable(String),
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
