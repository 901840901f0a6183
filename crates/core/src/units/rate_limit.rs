use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Suffix of a rate: events per second.
const UNIT: &str = "/s";

/// A rate in events per second, written as `12.5 /s`. Finite and never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RateLimit(f64);

/// Error for a text or number that is not a rate.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a rate; write a number that is not negative and `/s`")]
pub struct RateError(pub String);

impl RateLimit {
    /// Creates a rate from a number of events per second.
    ///
    /// # Errors
    ///
    /// Fails when the number is negative or not finite.
    pub fn per_second(events: f64) -> Result<Self, RateError> {
        if events.is_finite() && events >= 0.0 {
            Ok(Self(events))
        } else {
            Err(RateError(events.to_string()))
        }
    }

    /// The rate, or `events` per second if it is lower.
    #[must_use]
    pub const fn at_least(self, events: f64) -> Self {
        Self(self.0.max(events))
    }

    /// A share of the rate, from 0 to 1.
    #[must_use]
    pub fn scaled(self, share: f64) -> Self {
        Self(self.0 * share.clamp(0.0, 1.0))
    }

    /// The rate in events per second.
    #[must_use]
    pub const fn as_per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {UNIT}", self.0)
    }
}

impl FromStr for RateLimit {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let error = || RateError(text.to_owned());
        let digits = text.trim().strip_suffix(UNIT).ok_or_else(error)?;
        let number: f64 = digits.trim().parse().map_err(|_| error())?;
        Self::per_second(number).map_err(|_| error())
    }
}
