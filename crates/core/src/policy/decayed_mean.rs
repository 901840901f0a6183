use std::sync::atomic::{AtomicU64, Ordering};

/// Exponentially weighted moving average, shared by threads.
///
/// An update that loses a race with another thread is dropped. One observation
/// among many hardly changes the mean.
#[derive(Debug, Default)]
pub struct DecayedMean {
    bits: AtomicU64,
}

impl DecayedMean {
    /// Adds an observation with a `weight` from 0 to 1. The first observation
    /// becomes the mean, whatever its weight.
    pub fn observe(&self, value: f64, weight: f64) {
        let bits = self.bits.load(Ordering::Relaxed);
        let mean = f64::from_bits(bits);
        let next = if bits == 0 {
            value
        } else {
            mean + weight * (value - mean)
        };
        let _ = self.bits.compare_exchange(
            bits,
            next.max(f64::MIN_POSITIVE).to_bits(),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
    }

    /// The mean, or `None` before the first observation.
    #[must_use]
    pub fn get(&self) -> Option<f64> {
        let bits = self.bits.load(Ordering::Relaxed);
        (bits != 0).then(|| f64::from_bits(bits))
    }

    /// Discards all observations.
    pub fn reset(&self) {
        self.bits.store(0, Ordering::Relaxed);
    }
}
