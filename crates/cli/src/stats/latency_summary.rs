use std::fmt;

use serde::Serialize;

/// Quantiles of recorded times, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of times.
    pub count: u64,
    /// Mean.
    pub mean_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 90 in 100 are not longer.
    pub p90_ms: f64,
    /// 95 in 100 are not longer.
    pub p95_ms: f64,
    /// 99 in 100 are not longer.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl fmt::Display for LatencySummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "p50 {:.1}  p90 {:.1}  p95 {:.1}  p99 {:.1}  max {:.1} ms",
            self.p50_ms, self.p90_ms, self.p95_ms, self.p99_ms, self.max_ms
        )
    }
}
