use serde::Serialize;

use super::{LatencySummary, OutcomeCounts};

/// Figures of one part of a load, or of all of it.
#[derive(Clone, Debug, Serialize)]
pub struct PartSummary {
    /// Pipeline and workspace of the part, or `all`.
    pub name: String,
    /// Requests that were due.
    pub offered: u64,
    /// Share of them whose whole answer came within the deadline.
    pub attainment: f64,
    /// Requests by what became of them.
    pub counts: OutcomeCounts,
    /// Times of whole answers.
    pub total: Option<LatencySummary>,
    /// Times to the first token of whole answers.
    pub first_token: Option<LatencySummary>,
    /// Times between tokens of whole answers.
    pub between_tokens: Option<LatencySummary>,
    /// Times of refusals.
    pub refusal: Option<LatencySummary>,
}
