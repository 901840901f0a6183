use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Whether requests beyond the capacity of the pools are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionMode {
    /// Every request is admitted and every call starts at once. Serves as a
    /// baseline.
    None,
    /// Requests are admitted if they are predicted to finish before their
    /// deadline.
    #[default]
    Adaptive,
}

/// A text that is not an admission mode.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not an admission mode; write `none` or `adaptive`")]
pub struct ModeError(pub String);

impl FromStr for AdmissionMode {
    type Err = ModeError;

    fn from_str(text: &str) -> Result<Self, ModeError> {
        match text {
            "none" => Ok(Self::None),
            "adaptive" => Ok(Self::Adaptive),
            _ => Err(ModeError(text.to_owned())),
        }
    }
}
