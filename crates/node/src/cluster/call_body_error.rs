use http_types::StatusCode;
use thiserror::Error;

use crate::connection::{BodyError, CallError};

/// Why a call to another node or to the platform gave no answer of use.
#[derive(Debug, Error)]
pub enum CallBodyError {
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The body could not be read.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The callee refused.
    #[error("the answer has status {0}")]
    Status(StatusCode),
    /// The message cannot be encoded.
    #[error("the message cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The message is not valid.
    #[error("the message is not valid: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The page is not valid.
    #[error("the page is not valid: {0}")]
    Page(#[from] serde_json::Error),
    /// The address makes no URL.
    #[error("the address makes no URL: {0}")]
    Url(#[from] http_types::url::ParseError),
    /// No address is known.
    #[error("the settings name no address")]
    NoAddress,
}
