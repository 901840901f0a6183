/// How a request ended, for the log and the metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestEnd {
    /// Name of the outcome.
    pub outcome: &'static str,
    /// Status of the answer, if one was begun.
    pub status: Option<u16>,
    /// Why, where the outcome doesn't say it.
    pub reason: String,
    /// Whether the connection can carry another request.
    pub keeps: bool,
}

impl RequestEnd {
    /// A target's answer reached the caller whole.
    #[must_use]
    pub const fn answered(status: u16, keeps: bool) -> Self {
        let outcome = if status < 400 {
            "done"
        } else {
            "target_failed"
        };
        Self {
            outcome,
            status: Some(status),
            reason: String::new(),
            keeps,
        }
    }

    /// The answer broke off or could not be delivered.
    #[must_use]
    pub const fn broken(outcome: &'static str, status: Option<u16>, reason: String) -> Self {
        Self {
            outcome,
            status,
            reason,
            keeps: false,
        }
    }
}
