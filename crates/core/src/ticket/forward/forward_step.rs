use std::net::SocketAddr;

use crate::protocol::{AnswerOutcome, ErrorCode};

/// What a forwarding node does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardStep {
    /// Pass the call to the node at this internal address.
    Call(SocketAddr),
    /// Pass the answer to the caller as it is.
    ReturnAnswer,
    /// Tell the caller that the outcome is unknown.
    GiveUp(ForwardFailure),
}

/// Why a call could not be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardFailure {
    /// No node that could be reached holds the ticket.
    HolderGone,
    /// The connection to a node broke after the call was written.
    AnswerLost,
}

impl ForwardFailure {
    /// What the caller is told about its request.
    #[must_use]
    pub const fn outcome(self) -> AnswerOutcome {
        AnswerOutcome::OutcomeUnknown
    }

    /// The reason, for programs.
    #[must_use]
    pub const fn code(self) -> ErrorCode {
        match self {
            Self::HolderGone => ErrorCode::TicketLost,
            Self::AnswerLost => ErrorCode::ConnectionLost,
        }
    }
}
