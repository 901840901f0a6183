use std::{
    fmt,
    ops::{Add, Sub},
};

use serde::{Deserialize, Serialize};

use super::TimeSpan;

/// A point in time on the clock of one process, in milliseconds since an
/// arbitrary origin.
///
/// Clock readings of different processes are not comparable, so only
/// [`TimeSpan`]s are sent between processes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a point in time from milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time elapsed since `earlier`, zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> TimeSpan {
        TimeSpan::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The time remaining until `later`, zero if it has passed.
    #[must_use]
    pub const fn until(self, later: Self) -> TimeSpan {
        later.since(self)
    }
}

impl Add<TimeSpan> for ClockTime {
    type Output = Self;

    fn add(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_add(span.as_millis()))
    }
}

impl Sub<TimeSpan> for ClockTime {
    type Output = Self;

    fn sub(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_sub(span.as_millis()))
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
