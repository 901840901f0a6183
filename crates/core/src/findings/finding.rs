use std::fmt;

use serde::Serialize;

use super::FindingPlace;

/// One error in a record or in the settings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// Location of the error.
    pub place: FindingPlace,
    /// Category of the error.
    pub kind: FindingKind,
    /// Human-readable description.
    pub message: String,
}

/// Category of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// The text or one of its values is not valid.
    Invalid,
    /// The text uses a schema version that is newer than this build knows.
    FutureSchema,
}

impl Finding {
    /// Creates a finding of kind `Invalid`.
    #[must_use]
    pub fn invalid(place: FindingPlace, message: String) -> Self {
        let kind = FindingKind::Invalid;
        Self {
            place,
            kind,
            message,
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.message)
    }
}
