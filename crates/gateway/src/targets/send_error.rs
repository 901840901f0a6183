use thiserror::Error;
use verbenahub_core::policy::health::CallOutcome;

/// Why a call to a target brought no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SendError {
    /// No byte was sent: no connection came about.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No byte was sent: nothing listens at the target's address.
    #[error("not sent: {0}")]
    Refused(String),
    /// The connection broke after the call was sent.
    #[error("broken: {0}")]
    Broken(String),
    /// No answer came in time.
    #[error("no answer in time")]
    Stalled,
    /// The bytes that came are no answer to the call.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl SendError {
    /// Whether the call has certainly not run.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused(_))
    }

    /// What the failure says about the target's health.
    #[must_use]
    pub const fn outcome(&self) -> CallOutcome {
        match self {
            Self::Stalled => CallOutcome::Stalled,
            Self::NotSent(_) | Self::Refused(_) | Self::Broken(_) | Self::Malformed(_) => {
                CallOutcome::Failed
            }
        }
    }

    /// Name of the kind of failure, for metrics.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::NotSent(_) | Self::Refused(_) => "not_sent",
            Self::Broken(_) => "broken",
            Self::Stalled => "stalled",
            Self::Malformed(_) => "malformed",
        }
    }
}
