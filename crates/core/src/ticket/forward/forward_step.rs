use std::net::SocketAddr;

use crate::protocol::{AnswerOutcome, ErrorCode};

/// What a forwarding node does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardStep {
    /// Forward the call to the node at this internal address.
    Call(SocketAddr),
    /// Return the answer to the caller unchanged.
    ReturnAnswer,
    /// Report to the caller that the outcome is unknown.
    GiveUp(ForwardFailure),
}

/// Why forwarding a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardFailure {
    /// No reachable node holds the ticket.
    HolderGone,
    /// The connection to a node broke after at least a part of the call was written.
    AnswerLost,
}

impl ForwardFailure {
    /// The outcome that is reported to the caller.
    #[must_use]
    pub const fn outcome(self) -> AnswerOutcome {
        AnswerOutcome::OutcomeUnknown
    }

    /// The machine-readable reason.
    #[must_use]
    pub const fn code(self) -> ErrorCode {
        match self {
            Self::HolderGone => ErrorCode::TicketLost,
            Self::AnswerLost => ErrorCode::ConnectionLost,
        }
    }
}
