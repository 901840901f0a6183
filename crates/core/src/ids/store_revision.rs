use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

use super::{EraNumber, RevisionNumber};

/// Position of a change in the platform's store.
///
/// The store may reuse revision numbers after it was restored from a copy, so
/// revisions are ordered by era first. Written as `41` in era 0 and as `2:41`
/// in era 2.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Number of restores of the store before this revision.
    pub era: EraNumber,
    /// Revision number within the era.
    pub number: RevisionNumber,
}

impl StoreRevision {
    /// The revision before the first change.
    pub const ZERO: Self = Self::new(EraNumber::ZERO, 0);

    /// Creates the revision `number` of `era`.
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
