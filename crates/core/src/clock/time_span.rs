use std::{
    fmt,
    ops::{Add, Div, Mul},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60_000;

/// A duration in whole milliseconds, written as `250 ms`, `4 s` or `2 min`.
///
/// Arithmetic saturates.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimeSpan(u64);

/// Error for a text that is not a duration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a length of time; write a whole number and `ms`, `s` or `min`")]
pub struct SpanError(pub String);

impl TimeSpan {
    /// Zero milliseconds.
    pub const ZERO: Self = Self(0);
    /// The longest duration, used for limits that are not set.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a duration from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Creates a duration from seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds.saturating_mul(MILLIS_PER_SECOND))
    }

    /// The duration in milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The duration in seconds as a floating point number.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// The duration in whole seconds, rounded up, as needed for `Retry-After`.
    #[must_use]
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(MILLIS_PER_SECOND)
    }

    /// This duration minus `other`, zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Whether the duration is zero.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl Add for TimeSpan {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Div<u64> for TimeSpan {
    type Output = Self;

    fn div(self, divisor: u64) -> Self {
        Self(self.0 / divisor)
    }
}

impl Mul<u64> for TimeSpan {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl From<TimeSpan> for Duration {
    fn from(span: TimeSpan) -> Self {
        Self::from_millis(span.0)
    }
}

impl From<Duration> for TimeSpan {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 != 0 && self.0.is_multiple_of(MILLIS_PER_MINUTE) {
            write!(formatter, "{} min", self.0 / MILLIS_PER_MINUTE)
        } else if self.0 != 0 && self.0.is_multiple_of(MILLIS_PER_SECOND) {
            write!(formatter, "{} s", self.0 / MILLIS_PER_SECOND)
        } else {
            write!(formatter, "{} ms", self.0)
        }
    }
}

impl FromStr for TimeSpan {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Self, SpanError> {
        let error = || SpanError(text.to_owned());
        let trimmed = text.trim();
        let split = trimmed
            .find(|character: char| !character.is_ascii_digit())
            .ok_or_else(error)?;
        let (digits, unit) = trimmed.split_at(split);
        let number: u64 = digits.parse().map_err(|_| error())?;
        let factor = match unit.trim() {
            "ms" => 1,
            "s" => MILLIS_PER_SECOND,
            "min" => MILLIS_PER_MINUTE,
            _ => return Err(error()),
        };
        number.checked_mul(factor).map(Self).ok_or_else(error)
    }
}
