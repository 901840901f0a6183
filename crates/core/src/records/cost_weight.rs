use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Cost of one second of a target's time, in a unit that the operator chooses.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct CostWeight(f64);

/// The value is not a valid cost. Holds the value as text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a cost; write a number from 0 to 1000000")]
pub struct WeightError(pub String);

/// Maximum cost of one second.
const MAX_COST: f64 = 1_000_000.0;

impl CostWeight {
    /// Creates a weight from a cost per second.
    ///
    /// # Errors
    ///
    /// Fails when the cost is negative, not finite or over a million.
    pub fn new(cost: f64) -> Result<Self, WeightError> {
        if (0.0..=MAX_COST).contains(&cost) {
            Ok(Self(cost))
        } else {
            Err(WeightError(cost.to_string()))
        }
    }

    /// The cost of one second.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Default for CostWeight {
    fn default() -> Self {
        Self(1.0)
    }
}

impl TryFrom<f64> for CostWeight {
    type Error = WeightError;

    fn try_from(cost: f64) -> Result<Self, WeightError> {
        Self::new(cost)
    }
}

impl From<CostWeight> for f64 {
    fn from(weight: CostWeight) -> Self {
        weight.0
    }
}

impl fmt::Display for CostWeight {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, formatter)
    }
}

impl FromStr for CostWeight {
    type Err = WeightError;

    fn from_str(text: &str) -> Result<Self, WeightError> {
        let cost = text.trim().parse();
        cost.map_err(|_| WeightError(text.to_owned()))
            .and_then(Self::new)
    }
}
