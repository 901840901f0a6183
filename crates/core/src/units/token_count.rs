use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// A number of tokens, written as `12 tokens`; the unit may be omitted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TokenCount(u64);

impl TokenCount {
    /// Creates a count from a number of tokens.
    #[must_use]
    pub const fn new(tokens: u64) -> Self {
        Self(tokens)
    }

    /// The number of tokens.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for TokenCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} tokens", self.0)
    }
}

impl FromStr for TokenCount {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.trim()
            .trim_end_matches("tokens")
            .trim_end()
            .parse()
            .map(Self)
    }
}
