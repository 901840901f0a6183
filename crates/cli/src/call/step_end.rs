use verbenahub_core::protocol::{AnswerOutcome, ErrorBody, ErrorCode};

use super::CallTrouble;

/// How one call ended.
#[derive(Debug)]
pub(super) enum StepEnd {
    /// The whole answer came.
    Whole,
    /// The request shall be sent to this path, once or more.
    Ticket(String),
    /// A node answered with an error.
    Refused(ErrorBody),
    /// The answer was not whole.
    Damaged(String),
    /// The connection failed.
    Broken {
        /// Whether the node may have taken the call.
        sent: bool,
        /// Why.
        message: String,
    },
}

impl StepEnd {
    /// The outcome, as far as this one call tells it.
    pub(super) const fn outcome(&self) -> AnswerOutcome {
        match self {
            Self::Whole => AnswerOutcome::Done,
            Self::Refused(body) => body.outcome,
            Self::Broken { sent: false, .. } => AnswerOutcome::NotRun,
            Self::Ticket(_) | Self::Damaged(_) | Self::Broken { .. } => {
                AnswerOutcome::OutcomeUnknown
            }
        }
    }

    /// Whether calling the ticket again may give more.
    pub(super) const fn is_worth_repeating(&self) -> bool {
        match self {
            Self::Whole | Self::Ticket(_) => false,
            Self::Damaged(_) | Self::Broken { .. } => true,
            Self::Refused(body) => match body.outcome {
                AnswerOutcome::Done | AnswerOutcome::Failed => false,
                AnswerOutcome::OutcomeUnknown => true,
                AnswerOutcome::NotRun => is_passing(body.code),
            },
        }
    }

    /// What went wrong.
    pub(super) fn into_trouble(self) -> Option<CallTrouble> {
        match self {
            Self::Whole => None,
            Self::Refused(body) => Some(CallTrouble::Error(body)),
            Self::Damaged(message) => Some(CallTrouble::Damaged(message)),
            Self::Broken { message, .. } => Some(CallTrouble::Connection(message)),
            Self::Ticket(path) => {
                let message = format!("a ticket was answered by another one, {path}");
                Some(CallTrouble::Damaged(message))
            }
        }
    }
}

/// Whether the reason of a refusal can pass by itself.
const fn is_passing(code: ErrorCode) -> bool {
    matches!(
        code,
        ErrorCode::RateLimited
            | ErrorCode::Overloaded
            | ErrorCode::DeadlineUnreachable
            | ErrorCode::NoTarget
            | ErrorCode::NotReady
            | ErrorCode::ConnectionLost
    )
}
