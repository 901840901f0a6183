use crate::{clock::TimeSpan, policy::QuantileSketch};

/// Parameters of hedging: when a second call is sent while a slow first one is
/// in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeRule {
    /// Latency quantile of the pool after which a hedge is sent.
    pub quantile: f64,
    /// Number of latencies that must be recorded before hedges are sent.
    pub samples: u32,
    /// Minimum delay of a hedge.
    pub shortest_delay: TimeSpan,
}

impl Default for HedgeRule {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            samples: 50,
            shortest_delay: TimeSpan::from_millis(10),
        }
    }
}

impl HedgeRule {
    /// The delay after which a hedge may be sent, or `None` if there should be
    /// none: the call is not idempotent, too few latencies are known, or a hedge of
    /// median latency would not end within the `remaining` time. The budget must be
    /// checked when the delay is over, not before.
    #[must_use]
    pub fn delay(
        &self,
        idempotent: bool,
        latency: &QuantileSketch,
        remaining: TimeSpan,
    ) -> Option<TimeSpan> {
        if !idempotent || latency.len() < self.samples {
            return None;
        }
        let median = latency.quantile(0.5)?;
        let delay = latency.quantile(self.quantile)?.max(self.shortest_delay);
        (delay + median <= remaining).then_some(delay)
    }
}
