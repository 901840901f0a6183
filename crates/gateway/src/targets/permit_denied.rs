use verbenahub_core::clock::TimeSpan;

/// Why a call to a target is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDenied {
    /// The call would exceed the limit of its target, or the target has asked for no
    /// calls for a while.
    OverLimit {
        /// Time after which a permit may be available.
        retry_after: TimeSpan,
    },
    /// The target is draining or gone, or its zone is evacuated.
    Departed,
}
