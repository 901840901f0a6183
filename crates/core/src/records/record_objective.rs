use std::{fmt, str::FromStr};

use thiserror::Error;

/// What a pipeline is optimised for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RecordObjective {
    /// The share of requests that are answered within the deadline.
    #[default]
    Attainment,
    /// The cost of each stage.
    Cost,
}

/// The text is not an objective. Holds the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not an objective; write `attainment` or `cost`")]
pub struct ObjectiveError(pub String);

impl fmt::Display for RecordObjective {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Attainment => "attainment",
            Self::Cost => "cost",
        })
    }
}

impl FromStr for RecordObjective {
    type Err = ObjectiveError;

    fn from_str(text: &str) -> Result<Self, ObjectiveError> {
        match text {
            "attainment" => Ok(Self::Attainment),
            "cost" => Ok(Self::Cost),
            _ => Err(ObjectiveError(text.to_owned())),
        }
    }
}
