use std::time::Duration;

use verbenahub_core::protocol::{AnswerOutcome, ErrorCode};

use crate::call::{CallReport, CallTrouble};

/// What was measured of one request.
#[derive(Clone, Debug)]
pub struct RequestSample {
    /// Index of its part of the mix.
    pub part: usize,
    /// When it was due, from the start of the load.
    pub due: Duration,
    /// From when it was due to the end of its answer.
    pub total: Duration,
    /// From when it was due to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
    /// How it ended.
    pub end: SampleEnd,
    /// What went wrong, unless a node said so with a code.
    pub trouble: Option<String>,
}

/// How a request of a load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleEnd {
    /// It was never sent, because too many were in flight.
    Dropped,
    /// It was answered.
    Answered {
        /// What became of it.
        outcome: AnswerOutcome,
        /// Why, if a node said so.
        code: Option<ErrorCode>,
        /// Whether an answer came that was not whole.
        damaged: bool,
    },
}

impl SampleEnd {
    /// How the request of a report ended.
    #[must_use]
    pub fn of(report: &CallReport) -> Self {
        let code = match &report.trouble {
            Some(CallTrouble::Error(body)) => Some(body.code),
            _ => None,
        };
        Self::Answered {
            outcome: report.outcome,
            code,
            damaged: matches!(report.trouble, Some(CallTrouble::Damaged(_))),
        }
    }
}
