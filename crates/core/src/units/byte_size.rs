use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

const BYTES_PER_KIB: u64 = 1 << 10;
const BYTES_PER_MIB: u64 = 1 << 20;

/// A size in bytes, written as `512 B`, `64 KiB` or `1 MiB`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ByteSize(u64);

/// Error for a text that is not a size.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a size; write a whole number and `B`, `KiB` or `MiB`")]
pub struct SizeError(pub String);

impl ByteSize {
    /// Creates a size from a number of bytes.
    #[must_use]
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Creates a size from a number of kibibytes; saturates.
    #[must_use]
    pub const fn from_kib(kibibytes: u64) -> Self {
        Self(kibibytes.saturating_mul(BYTES_PER_KIB))
    }

    /// Creates a size from a number of mebibytes; saturates.
    #[must_use]
    pub const fn from_mib(mebibytes: u64) -> Self {
        Self(mebibytes.saturating_mul(BYTES_PER_MIB))
    }

    /// The size in bytes.
    #[must_use]
    pub const fn as_bytes(self) -> u64 {
        self.0
    }

    /// The size in bytes as a `usize`, `usize::MAX` if it does not fit.
    #[must_use]
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 != 0 && self.0.is_multiple_of(BYTES_PER_MIB) {
            write!(formatter, "{} MiB", self.0 / BYTES_PER_MIB)
        } else if self.0 != 0 && self.0.is_multiple_of(BYTES_PER_KIB) {
            write!(formatter, "{} KiB", self.0 / BYTES_PER_KIB)
        } else {
            write!(formatter, "{} B", self.0)
        }
    }
}

impl FromStr for ByteSize {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, SizeError> {
        let error = || SizeError(text.to_owned());
        let trimmed = text.trim();
        let split = trimmed
            .find(|character: char| !character.is_ascii_digit())
            .ok_or_else(error)?;
        let (digits, unit) = trimmed.split_at(split);
        let number: u64 = digits.parse().map_err(|_| error())?;
        let factor = match unit.trim() {
            "B" => 1,
            "KiB" => BYTES_PER_KIB,
            "MiB" => BYTES_PER_MIB,
            _ => return Err(error()),
        };
        number.checked_mul(factor).map(Self).ok_or_else(error)
    }
}
