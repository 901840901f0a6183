use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;
use verbenahub_core::protocol::{AnswerOutcome, ErrorCode};

use crate::load::SampleEnd;

/// Requests by what became of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OutcomeCounts {
    /// The whole answer came.
    pub done: u64,
    /// The whole answer came within the deadline.
    pub done_in_time: u64,
    /// A target said that the request failed.
    pub failed: u64,
    /// The request was not run.
    pub not_run: u64,
    /// The request was not run because no node could be reached; also counted
    /// as not run.
    pub unreachable: u64,
    /// The request may or may not have run.
    pub outcome_unknown: u64,
    /// An answer came that was not whole; also counted by outcome.
    pub damaged: u64,
    /// The tool did not send the request, because too many were in flight.
    pub dropped: u64,
    /// Answers by error code.
    pub codes: BTreeMap<String, u64>,
    /// Requests by what went wrong where no node gave a code; only the first
    /// few messages are told apart.
    pub troubles: BTreeMap<String, u64>,
}

/// Messages that are told apart.
const TROUBLE_LIMIT: usize = 20;

impl OutcomeCounts {
    /// Counts one request.
    pub fn add(&mut self, end: SampleEnd, in_time: bool) {
        let SampleEnd::Answered {
            outcome,
            code,
            damaged,
        } = end
        else {
            self.dropped += 1;
            return;
        };
        match outcome {
            AnswerOutcome::Done => {
                self.done += 1;
                self.done_in_time += u64::from(in_time);
            }
            AnswerOutcome::Failed => self.failed += 1,
            AnswerOutcome::NotRun => {
                self.not_run += 1;
                self.unreachable += u64::from(code.is_none());
            }
            AnswerOutcome::OutcomeUnknown => self.outcome_unknown += 1,
        }
        self.damaged += u64::from(damaged);
        if let Some(code) = code {
            *self.codes.entry(code_name(code)).or_default() += 1;
        }
    }

    /// Counts what went wrong with one request.
    pub fn add_trouble(&mut self, message: &str, count: u64) {
        let is_known = self.troubles.contains_key(message);
        if is_known || self.troubles.len() < TROUBLE_LIMIT {
            *self.troubles.entry(message.to_owned()).or_default() += count;
        }
    }

    /// All requests that were due.
    #[must_use]
    pub const fn offered(&self) -> u64 {
        self.done + self.failed + self.not_run + self.outcome_unknown + self.dropped
    }

    /// Share of the requests due whose whole answer came within the deadline.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // Counts of one load are far below 2^53.
    pub fn attainment(&self) -> f64 {
        self.done_in_time as f64 / self.offered().max(1) as f64
    }

    /// Adds the counts of another part.
    pub fn merge(&mut self, other: &Self) {
        self.done += other.done;
        self.done_in_time += other.done_in_time;
        self.failed += other.failed;
        self.not_run += other.not_run;
        self.unreachable += other.unreachable;
        self.outcome_unknown += other.outcome_unknown;
        self.damaged += other.damaged;
        self.dropped += other.dropped;
        for (code, count) in &other.codes {
            *self.codes.entry(code.clone()).or_default() += count;
        }
        for (message, count) in &other.troubles {
            self.add_trouble(message, *count);
        }
    }
}

/// Name of a code as it stands in an error body.
fn code_name(code: ErrorCode) -> String {
    match serde_json::to_value(code) {
        Ok(Value::String(name)) => name,
        _ => format!("{code:?}"),
    }
}
