use super::AdmissionMode;
use crate::clock::TimeSpan;

/// Parameters of admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRule {
    /// Whether requests beyond the capacity of the pools are refused.
    pub mode: AdmissionMode,
    /// Maximum number of admitted requests in progress.
    pub request_limit: usize,
    /// Work by which a workspace may be ahead of the one that received least.
    /// Calls of a workspace further ahead wait, whatever their slack.
    pub fair_quantum: TimeSpan,
    /// Share of its slack that an arriving request may be predicted to wait. The
    /// rest is a margin for prediction errors.
    pub slack_share: f64,
    /// Shortest time after which a refused request may be retried.
    pub min_retry_after: TimeSpan,
}

impl Default for AdmissionRule {
    fn default() -> Self {
        Self {
            mode: AdmissionMode::Adaptive,
            request_limit: 4_096,
            fair_quantum: TimeSpan::from_millis(500),
            slack_share: 0.5,
            min_retry_after: TimeSpan::from_millis(50),
        }
    }
}
