use std::{fmt, str::FromStr};

use serde::Deserialize;
use thiserror::Error;

/// Sampling ratio of traces: the share of requests that are traced, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Deserialize)]
#[serde(try_from = "f64")]
pub struct SampleShare(f64);

/// Error for a value that is not a share from 0 to 1.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a share; write a number from 0 to 1")]
pub struct ShareError(pub String);

impl SampleShare {
    /// Creates a share from a number.
    ///
    /// # Errors
    ///
    /// Fails when the number is not between 0 and 1.
    pub fn new(share: f64) -> Result<Self, ShareError> {
        if (0.0..=1.0).contains(&share) {
            Ok(Self(share))
        } else {
            Err(ShareError(share.to_string()))
        }
    }

    /// The share as a number.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Default for SampleShare {
    fn default() -> Self {
        Self(1.0)
    }
}

impl TryFrom<f64> for SampleShare {
    type Error = ShareError;

    fn try_from(share: f64) -> Result<Self, ShareError> {
        Self::new(share)
    }
}

impl fmt::Display for SampleShare {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, formatter)
    }
}

impl FromStr for SampleShare {
    type Err = ShareError;

    fn from_str(text: &str) -> Result<Self, ShareError> {
        let share = text.trim().parse();
        share
            .map_err(|_| ShareError(text.to_owned()))
            .and_then(Self::new)
    }
}
