//! Conversions between counts, time spans and floating-point numbers.

use crate::clock::TimeSpan;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A time span in milliseconds, as a floating-point number.
pub(crate) fn millis(span: TimeSpan) -> f64 {
    span.as_secs_f64() * MILLIS_PER_SECOND
}

/// A time span from milliseconds, rounded; zero for a negative number or NaN.
// The cast saturates, and rounding errors above 2^53 ms don't matter.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn span(millis: f64) -> TimeSpan {
    TimeSpan::from_millis(millis.round() as u64)
}

/// A count as a floating-point number. Values above `u32::MAX` are capped.
pub(crate) fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// The integer part of a number as a count; zero for a negative number or NaN.
// The cast saturates.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn floor(number: f64) -> usize {
    number as usize
}

/// A ratio in percent, rounded; zero for a negative number or NaN.
// The cast saturates.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn percent(ratio: f64) -> u32 {
    (ratio * 100.0).round() as u32
}
