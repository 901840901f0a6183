/// How a request ended, for the log and the metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestEnd {
    /// Outcome, as written to the log and the metrics.
    pub outcome: &'static str,
    /// HTTP status, if a response was started.
    pub status: Option<u16>,
    /// Details that the outcome doesn't tell; may be empty.
    pub reason: String,
    /// Whether the connection can be reused for another request.
    pub keep_alive: bool,
}

impl RequestEnd {
    /// A target's complete response was sent to the caller.
    #[must_use]
    pub const fn answered(status: u16, keep_alive: bool) -> Self {
        let outcome = if status < 400 {
            "done"
        } else {
            "target_failed"
        };
        Self {
            outcome,
            status: Some(status),
            reason: String::new(),
            keep_alive,
        }
    }

    /// The response broke off or could not be delivered.
    #[must_use]
    pub const fn interrupted(outcome: &'static str, status: Option<u16>, reason: String) -> Self {
        Self {
            outcome,
            status,
            reason,
            keep_alive: false,
        }
    }
}
