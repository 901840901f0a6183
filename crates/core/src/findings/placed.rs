use std::{fmt::Display, ops::RangeInclusive};

use super::{FindingLog, KeyPlace};

/// A value with the location it was read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Placed<T> {
    /// The value.
    pub(crate) value: T,
    /// Its location.
    pub(crate) place: KeyPlace,
}

impl<T> Placed<T> {
    /// Converts the value and keeps its location.
    pub(crate) fn map<U, F>(self, convert: F) -> Placed<U>
    where
        F: FnOnce(T) -> U,
    {
        Placed {
            value: convert(self.value),
            place: self.place,
        }
    }
}

impl<T> Placed<T>
where
    T: PartialOrd + Display,
{
    /// Reports a value outside `range`.
    pub(crate) fn check_range(&self, range: &RangeInclusive<T>, log: &FindingLog<'_>) {
        if !range.contains(&self.value) {
            let (lowest, highest) = (range.start(), range.end());
            let message = format!("must be from {lowest} to {highest}, is {}", self.value);
            log.report(&self.place, message);
        }
    }
}
