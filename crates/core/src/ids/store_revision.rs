use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

use super::{EraNumber, RevisionNumber};

/// Position of a change in the platform's store. Revisions are given out again
/// after the store has come back from a copy, so the era counts first. Written
/// as `41` in the first era and `2:41` in others.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Era.
    pub era: EraNumber,
    /// Revision in its era.
    pub number: RevisionNumber,
}

impl StoreRevision {
    /// Before all changes.
    pub const ZERO: Self = Self::new(EraNumber::ZERO, 0);

    /// Creates the revision of an era.
    #[must_use]
    pub const fn new(era: EraNumber, number: u64) -> Self {
        Self {
            era,
            number: RevisionNumber::new(number),
        }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era != EraNumber::ZERO {
            write!(formatter, "{}:", self.era)?;
        }
        write!(formatter, "{}", self.number)
    }
}

impl FromStr for StoreRevision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, number) = text.split_once(':').unwrap_or(("0", text));
        Ok(Self::new(EraNumber::new(era.parse()?), number.parse()?))
    }
}
