use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::units::RateLimit;

/// Rate at which a target with a lower limit is still asked. Without a request it
/// can't say that its limit is over.
const MIN_PROBE_RATE: f64 = 0.1;

/// The value of a header that names a limit is not a number of requests a second.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a number of requests a second: {0:?}")]
pub struct RequestLimitError(pub String);

/// Number of requests a second that a target accepts from all nodes together.
///
/// Parsed from a plain decimal number: digits and at most one point.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestLimit(RateLimit);

impl RequestLimit {
    /// Creates a limit from a rate.
    #[must_use]
    pub const fn new(rate: RateLimit) -> Self {
        Self(rate)
    }

    /// The limit as a rate.
    #[must_use]
    pub const fn rate(self) -> RateLimit {
        self.0
    }

    /// The rate at which a part of the fleet may send requests, which uses `share`
    /// of the limit.
    #[must_use]
    pub fn pace(self, share: f64) -> RateLimit {
        self.0.at_least(MIN_PROBE_RATE).scaled(share)
    }

    /// The lower of two limits.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        if other < self { other } else { self }
    }
}

impl fmt::Display for RequestLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for RequestLimit {
    type Err = RequestLimitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || RequestLimitError(text.to_owned());
        let text = text.trim();
        let is_plain = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        let number = text.parse::<f64>().ok().filter(|_| is_plain);
        let rate = RateLimit::per_second(number.ok_or_else(error)?);
        rate.map(Self).map_err(|_| error())
    }
}
