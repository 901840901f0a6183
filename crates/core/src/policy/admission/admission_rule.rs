use super::AdmissionMode;
use crate::clock::TimeSpan;

/// Bounds of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRule {
    /// Whether requests are held to what can be served.
    pub mode: AdmissionMode,
    /// Requests under way at most.
    pub request_limit: usize,
    /// Work by which workspaces may differ before the one ahead has to wait,
    /// whatever its slack.
    pub fair_quantum: TimeSpan,
    /// Share of the slack that an arrival may be planned to wait; the rest is
    /// kept for what is not foreseen.
    pub slack_share: f64,
    /// Shortest time after which a refused request may return.
    pub shortest_return: TimeSpan,
}

impl Default for AdmissionRule {
    fn default() -> Self {
        Self {
            mode: AdmissionMode::Adaptive,
            request_limit: 4_096,
            fair_quantum: TimeSpan::from_millis(500),
            slack_share: 0.5,
            shortest_return: TimeSpan::from_millis(50),
        }
    }
}
