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
