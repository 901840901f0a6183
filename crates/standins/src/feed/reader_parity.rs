use std::str::FromStr;

use thiserror::Error;

/// Which readers an order concerns, by the number of their connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReaderParity {
    /// All readers.
    #[default]
    All,
    /// Readers on odd connections.
    Odd,
    /// Readers on even connections.
    Even,
}

/// A text that names no readers.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` names no readers; write `all`, `odd` or `even`")]
pub struct ParityError(pub String);

impl ReaderParity {
    /// Whether the reader on a connection is meant.
    #[must_use]
    pub const fn includes(self, connection: u64) -> bool {
        match self {
            Self::All => true,
            Self::Odd => connection % 2 == 1,
            Self::Even => connection.is_multiple_of(2),
        }
    }
}

impl FromStr for ReaderParity {
    type Err = ParityError;

    fn from_str(text: &str) -> Result<Self, ParityError> {
        match text {
            "all" => Ok(Self::All),
            "odd" => Ok(Self::Odd),
            "even" => Ok(Self::Even),
            _ => Err(ParityError(text.to_owned())),
        }
    }
}
