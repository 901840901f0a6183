use std::fmt;

use serde::{Deserialize, Serialize};

/// Outcome of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerOutcome {
    /// The request ran and its response is complete.
    Done,
    /// A target reported that the request failed.
    Failed,
    /// No byte of the request was sent to any target.
    NotRun,
    /// The request may or may not have run.
    OutcomeUnknown,
}

impl fmt::Display for AnswerOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::NotRun => "not_run",
            Self::OutcomeUnknown => "outcome_unknown",
        })
    }
}
