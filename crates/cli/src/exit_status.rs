//! Exit codes of the tool.

use std::process::ExitCode;

use verbenahub_core::protocol::AnswerOutcome;

/// How the tool ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// All is well: no findings, the request is done, the revision is in force.
    Success,
    /// There are findings, or the revision is not in force everywhere.
    Unmet,
    /// The arguments or a file cannot be used.
    Usage,
    /// A target said that the request failed.
    Failed,
    /// The request was not run.
    NotRun,
    /// The request may or may not have run.
    OutcomeUnknown,
    /// A node gave no answer.
    Unreachable,
}

impl From<AnswerOutcome> for ExitStatus {
    fn from(outcome: AnswerOutcome) -> Self {
        match outcome {
            AnswerOutcome::Done => Self::Success,
            AnswerOutcome::Failed => Self::Failed,
            AnswerOutcome::NotRun => Self::NotRun,
            AnswerOutcome::OutcomeUnknown => Self::OutcomeUnknown,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(match status {
            ExitStatus::Success => 0,
            ExitStatus::Unmet => 1,
            ExitStatus::Usage => 2,
            ExitStatus::Failed => 3,
            ExitStatus::NotRun => 4,
            ExitStatus::OutcomeUnknown => 5,
            ExitStatus::Unreachable => 6,
        })
    }
}
