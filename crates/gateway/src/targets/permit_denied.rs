use verbenahub_core::clock::TimeSpan;

/// A call would exceed the limit of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitDenied {
    /// Time after which a permit may be available.
    pub retry_after: TimeSpan,
}
