use std::{fmt, str::FromStr};

use thiserror::Error;

/// Maximum length of a key, in bytes.
const KEY_LIMIT_BYTES: usize = 255;

/// The key that a caller assigns to one request in the `idempotency-key` header.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey(String);

/// Why a text is not a valid idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum IdempotencyKeyError {
    /// The text is empty or too long.
    #[error("an idempotency key has 1 to {KEY_LIMIT_BYTES} bytes, this one has {0}")]
    Length(usize),
    /// The text contains a character that is not visible ASCII.
    #[error("an idempotency key holds only visible ASCII characters")]
    Character,
}

impl IdempotencyKey {
    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for IdempotencyKey {
    type Err = IdempotencyKeyError;

    fn from_str(text: &str) -> Result<Self, IdempotencyKeyError> {
        if text.is_empty() || text.len() > KEY_LIMIT_BYTES {
            return Err(IdempotencyKeyError::Length(text.len()));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(IdempotencyKeyError::Character);
        }
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
