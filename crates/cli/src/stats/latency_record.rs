use std::time::Duration;

use hdrhistogram::Histogram;

use super::LatencySummary;

/// Longest time that is told apart, in microseconds: one hour.
const HIGHEST_MICROS: u64 = 3_600_000_000;
/// Significant digits of a recorded time.
const DIGITS: u8 = 3;

/// Records times.
#[derive(Clone, Debug)]
pub struct LatencyRecord(Histogram<u64>);

impl LatencyRecord {
    /// Creates an empty record.
    ///
    /// # Panics
    ///
    /// Never; the bounds are constants that the histogram takes.
    #[must_use]
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, HIGHEST_MICROS, DIGITS);
        Self(histogram.expect("constant bounds"))
    }

    /// Records a time.
    pub fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(HIGHEST_MICROS);
        self.0.saturating_record(micros.clamp(1, HIGHEST_MICROS));
    }

    /// Adds all times of another record.
    ///
    /// # Panics
    ///
    /// Never; all records have the same bounds.
    pub fn merge(&mut self, other: &Self) {
        self.0.add(&other.0).expect("the same bounds");
    }

    /// The quantiles; nothing if no time was recorded.
    #[must_use]
    pub fn summary(&self) -> Option<LatencySummary> {
        if self.0.is_empty() {
            return None;
        }
        Some(LatencySummary {
            count: self.0.len(),
            mean_ms: self.0.mean() / 1_000.0,
            p50_ms: self.quantile_ms(0.5),
            p90_ms: self.quantile_ms(0.9),
            p95_ms: self.quantile_ms(0.95),
            p99_ms: self.quantile_ms(0.99),
            max_ms: micros_to_ms(self.0.max()),
        })
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        micros_to_ms(self.0.value_at_quantile(quantile))
    }
}

impl Default for LatencyRecord {
    fn default() -> Self {
        Self::new()
    }
}

#[allow(clippy::cast_precision_loss)] // At most an hour in microseconds: exact.
fn micros_to_ms(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
