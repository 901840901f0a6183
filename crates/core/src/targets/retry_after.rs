use std::str::FromStr;

use thiserror::Error;

use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
};

/// Longest accepted duration. A target that is replaced within it is a different
/// run, which the header does not concern.
const MAX_DURATION: TimeSpan = TimeSpan::from_secs(24 * 60 * 60);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The value of a `Retry-After` header is not a number of seconds.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("not a number of seconds: {0:?}")]
pub struct RetryAfterError(pub String);

/// Time for which a target that has refused a request wants no others.
///
/// Parsed from a number of seconds, fractions included. Zero asks for no pause.
/// Dates are rejected because the clocks of VMs differ by seconds. More than a
/// day counts as a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter {
    duration: TimeSpan,
}

impl RetryAfter {
    /// Length of the pause.
    #[must_use]
    pub const fn duration(self) -> TimeSpan {
        self.duration
    }

    /// End of the pause if it began at `now`.
    #[must_use]
    pub fn end(self, now: ClockTime) -> ClockTime {
        now + self.duration
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
        let longest = numbers::millis(MAX_DURATION);
        let duration = numbers::span((seconds * MILLIS_PER_SECOND).ceil().min(longest));
        Ok(Self { duration })
    }
}
