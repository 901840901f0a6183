use std::str::FromStr;

use thiserror::Error;

use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
};

/// Longest time that is taken at its word. A target that is replaced within it
/// is another run, which hasn't turned anything away.
const LONGEST: TimeSpan = TimeSpan::from_secs(24 * 60 * 60);
const MILLIS: f64 = 1_000.0;

/// A time that is none.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a number of seconds: {0:?}")]
pub struct RetryAfterError(pub String);

/// For how long a target that has turned a request away wants no other.
///
/// Seconds, fractions included. Zero asks for nothing. A date is not taken: the
/// times of day of VMs differ by seconds. Times over a day count as a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter {
    span: TimeSpan,
}

impl RetryAfter {
    /// Its length.
    #[must_use]
    pub const fn duration(self) -> TimeSpan {
        self.span
    }

    /// Its end, if it began at `now`.
    #[must_use]
    pub fn end(self, now: ClockTime) -> ClockTime {
        now + self.span
    }
}

impl FromStr for RetryAfter {
    type Err = RetryAfterError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let text = text.trim();
        let is_plain = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        let seconds = text.parse::<f64>().ok().filter(|_| is_plain);
        let seconds = seconds.ok_or_else(|| RetryAfterError(text.to_owned()))?;
        let longest = numbers::millis(LONGEST);
        let span = numbers::span((seconds * MILLIS).ceil().min(longest));
        Ok(Self { span })
    }
}
