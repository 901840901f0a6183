/// What a call to a target is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPurpose {
    /// Processes the request of a caller.
    Request,
    /// Produces pieces of a stage.
    Stage,
    /// Frees results of a stage.
    Free,
}

impl CallPurpose {
    /// Whether the target does work for the call, which it must not be given once it
    /// drains. Results are freed until it is gone.
    #[must_use]
    pub const fn is_work(self) -> bool {
        match self {
            Self::Request | Self::Stage => true,
            Self::Free => false,
        }
    }

    /// Label for metrics and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Stage => "stage",
            Self::Free => "free",
        }
    }
}
