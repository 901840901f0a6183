use std::time::Duration;

use verbenahub_core::protocol::AnswerOutcome;

use super::{LatencyRecord, OutcomeCounts, PartSummary};
use crate::load::{RequestSample, SampleEnd};

/// Figures of the requests of one part of a mix.
#[derive(Clone, Debug, Default)]
pub struct PartStats {
    counts: OutcomeCounts,
    total: LatencyRecord,
    first_token: LatencyRecord,
    token_gap: LatencyRecord,
    refusal: LatencyRecord,
}

impl PartStats {
    /// Adds one request, which had `deadline` for its answer.
    pub fn add(&mut self, sample: &RequestSample, deadline: Duration) {
        self.counts.add(sample.end, sample.total <= deadline);
        if let Some(message) = &sample.trouble {
            self.counts.add_trouble(message, 1);
        }
        let SampleEnd::Answered { outcome, code, .. } = sample.end else {
            return;
        };
        match outcome {
            AnswerOutcome::Done => self.add_done(sample),
            AnswerOutcome::NotRun if code.is_some() => self.refusal.add(sample.total),
            AnswerOutcome::NotRun | AnswerOutcome::Failed | AnswerOutcome::OutcomeUnknown => {}
        }
    }

    /// Adds all figures of another part.
    pub fn merge(&mut self, other: &Self) {
        self.counts.merge(&other.counts);
        self.total.merge(&other.total);
        self.first_token.merge(&other.first_token);
        self.token_gap.merge(&other.token_gap);
        self.refusal.merge(&other.refusal);
    }

    /// Sums up the part under a name.
    #[must_use]
    pub fn sum_up(&self, name: &str) -> PartSummary {
        PartSummary {
            name: name.to_owned(),
            offered: self.counts.offered(),
            attainment: self.counts.attainment(),
            counts: self.counts.clone(),
            total: self.total.summary(),
            first_token: self.first_token.summary(),
            between_tokens: self.token_gap.summary(),
            refusal: self.refusal.summary(),
        }
    }

    fn add_done(&mut self, sample: &RequestSample) {
        self.total.add(sample.total);
        if let Some(first) = sample.first_token {
            self.first_token.add(first);
        }
        for gap in &sample.token_gaps {
            self.token_gap.add(*gap);
        }
    }
}
