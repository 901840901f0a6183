use std::fmt;

/// Identifier of an admitted request, unique within one
/// [`AdmissionController`](super::AdmissionController).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionId(u64);

impl AdmissionId {
    /// Creates an identifier from its numeric value.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The numeric value.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for AdmissionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
