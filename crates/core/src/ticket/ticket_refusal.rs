use thiserror::Error;

use crate::protocol::{AnswerOutcome, ErrorCode};

/// Why a call with a ticket is refused. Each reason is final for the ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TicketRefusal {
    /// The ledger of this node holds no tickets of the issuing incarnation.
    #[error("this node does not hold the ticket")]
    NotOwner,
    /// The ticket has expired, or its sequence number was never issued.
    #[error("the ticket has expired")]
    Lost,
    /// The ticket ran or may have run, and its answer is not kept.
    #[error("the ticket was used and its answer is not known")]
    Unknown,
    /// The ticket was used with a different body.
    #[error("the ticket was used with another body")]
    Reused,
    /// There was no memory to reserve for the answer. The ticket never runs.
    #[error("no memory is left to keep the answer of the ticket")]
    Declined,
}

impl TicketRefusal {
    /// The outcome that is reported to the caller.
    #[must_use]
    pub const fn outcome(self) -> AnswerOutcome {
        match self {
            Self::NotOwner | Self::Lost | Self::Unknown => AnswerOutcome::OutcomeUnknown,
            Self::Reused | Self::Declined => AnswerOutcome::NotRun,
        }
    }

    /// The machine-readable reason.
    #[must_use]
    pub const fn code(self) -> ErrorCode {
        match self {
            Self::NotOwner | Self::Lost => ErrorCode::TicketLost,
            Self::Unknown => ErrorCode::ConnectionLost,
            Self::Reused => ErrorCode::TicketReused,
            Self::Declined => ErrorCode::Overloaded,
        }
    }
}
