use std::sync::atomic::{AtomicU64, Ordering};

/// Weight of one call in the moving averages.
const CALL_WEIGHT: f64 = 0.01;
/// Initial variance of the predictions and initial covariance, chosen so that
/// reports get the maximum weight until calls show that they are wrong.
const INITIAL_VARIANCE: f64 = 0.05;
/// Maximum observed slowdown that is recorded, so that one outlier has little
/// effect.
const MAX_OBSERVED: f64 = 8.0;

/// Maximum weight of reports. It is below 1 because other nodes see the same
/// reports and act on them at the same time.
const MAX_WEIGHT: f64 = 0.5;

/// Measures how well load reports predict the slowdown of calls.
///
/// The weight of reports is the slope of a linear regression of the observed on
/// the predicted slowdown, over exponential moving averages. Reports that are too
/// old to predict anything get a slope near zero and are ignored. The age of a
/// report's content cannot be determined in any other way.
#[derive(Debug)]
pub struct ReportAccuracy {
    predicted: Moment,
    observed: Moment,
    product: Moment,
    square: Moment,
}

/// An exponential moving average, shared between threads.
#[derive(Debug)]
struct Moment {
    bits: AtomicU64,
}

impl Default for ReportAccuracy {
    fn default() -> Self {
        Self {
            predicted: Moment::new(0.0),
            observed: Moment::new(0.0),
            product: Moment::new(INITIAL_VARIANCE),
            square: Moment::new(INITIAL_VARIANCE),
        }
    }
}

impl ReportAccuracy {
    /// Records a call: the waiting time beyond the pool's mean that reports
    /// predicted, and the observed total time, both in service times.
    pub fn observe(&self, predicted: f64, observed: f64) {
        let observed = observed.min(MAX_OBSERVED);
        self.predicted.observe(predicted);
        self.observed.observe(observed);
        self.product.observe(predicted * observed);
        self.square.observe(predicted * predicted);
    }

    /// The weight that reports deserve, from 0 to 0.5.
    #[must_use]
    pub fn weight(&self) -> f64 {
        let predicted = self.predicted.get();
        let covariance = self.product.get() - predicted * self.observed.get();
        let variance = self.square.get() - predicted * predicted;
        if variance <= f64::EPSILON {
            return MAX_WEIGHT;
        }
        (covariance / variance).clamp(0.0, MAX_WEIGHT)
    }
}

impl Moment {
    fn new(value: f64) -> Self {
        Self {
            bits: AtomicU64::new(value.to_bits()),
        }
    }

    fn get(&self) -> f64 {
        f64::from_bits(self.bits.load(Ordering::Relaxed))
    }

    /// Adds an observation. An update that conflicts with a concurrent one is
    /// dropped.
    fn observe(&self, value: f64) {
        let bits = self.bits.load(Ordering::Relaxed);
        let mean = f64::from_bits(bits);
        let next = (mean + CALL_WEIGHT * (value - mean)).to_bits();
        let _ = self
            .bits
            .compare_exchange(bits, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}
