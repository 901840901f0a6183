use std::{fmt, str::FromStr};

use thiserror::Error;

/// What the replicas of a pool do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PoolKind {
    /// Turns documents and photos into vectors.
    Encode,
    /// Finds documents.
    Retrieve,
    /// Orders documents.
    Rerank,
}

/// A text that names no kind of pool.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a kind of pool; write `encode`, `retrieve` or `rerank`")]
pub struct KindError(pub String);

impl fmt::Display for PoolKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Encode => "encode",
            Self::Retrieve => "retrieve",
            Self::Rerank => "rerank",
        })
    }
}

impl FromStr for PoolKind {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        match text {
            "encode" => Ok(Self::Encode),
            "retrieve" => Ok(Self::Retrieve),
            "rerank" => Ok(Self::Rerank),
            _ => Err(KindError(text.to_owned())),
        }
    }
}
