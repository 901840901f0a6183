use thiserror::Error;
use verbenahub_core::policy::health::CallOutcome;

/// Why a call to a target got no usable response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SendError {
    /// No byte was sent: the connection could not be established.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No byte was sent: the target's address refused the connection.
    #[error("not sent: {0}")]
    ConnectionRefused(String),
    /// The connection was lost after the call was sent, at least in part.
    #[error("broken: {0}")]
    ConnectionLost(String),
    /// No response arrived in time.
    #[error("no response in time")]
    Stalled,
    /// The received bytes are not a valid response to the call.
    #[error("invalid response: {0}")]
    Malformed(String),
}

impl SendError {
    /// Whether the call has certainly not been run by the target.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::ConnectionRefused(_))
    }

    /// Outcome of the call, for the target's health.
    #[must_use]
    pub const fn outcome(&self) -> CallOutcome {
        match self {
            Self::Stalled => CallOutcome::Stalled,
            Self::NotSent(_)
            | Self::ConnectionRefused(_)
            | Self::ConnectionLost(_)
            | Self::Malformed(_) => CallOutcome::Failed,
        }
    }

    /// Label of the kind of failure, for metrics and logs.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::NotSent(_) | Self::ConnectionRefused(_) => "not_sent",
            Self::ConnectionLost(_) => "broken",
            Self::Stalled => "stalled",
            Self::Malformed(_) => "malformed",
        }
    }
}
