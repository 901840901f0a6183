use std::sync::atomic::{AtomicU32, Ordering};

use super::numbers;
use crate::clock::TimeSpan;

/// Buckets per doubling of the time span.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Total number of buckets, for spans from 1 ms to 2^18 ms.
const BUCKET_COUNT: usize = 72;

/// Streaming quantiles of time spans, shared by threads.
///
/// Counts time spans in a histogram whose bucket bounds grow by a factor of
/// 2^(1/4), so an estimated quantile is at most 19% above the exact one.
/// Regular calls of [`halve`](Self::halve) reduce the weight of old time spans.
#[derive(Debug)]
pub struct QuantileSketch {
    counts: [AtomicU32; BUCKET_COUNT],
    total: AtomicU32,
}

impl Default for QuantileSketch {
    fn default() -> Self {
        Self {
            counts: std::array::from_fn(|_| AtomicU32::new(0)),
            total: AtomicU32::new(0),
        }
    }
}

impl QuantileSketch {
    /// Counts a time span.
    pub fn record(&self, span: TimeSpan) {
        self.counts[bucket_index(span)].fetch_add(1, Ordering::Relaxed);
        self.total.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of time spans counted, after halving.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.total.load(Ordering::Relaxed)
    }

    /// Whether no time span is counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Upper estimate of the time span that a `share` (0 to 1) of the counted ones
    /// does not exceed, or `None` when none is counted.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<TimeSpan> {
        let total = self.len();
        if total == 0 {
            return None;
        }
        let rank = (f64::from(total) * share).ceil().max(1.0);
        let mut seen = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += f64::from(count.load(Ordering::Relaxed));
            if seen >= rank {
                return Some(upper_bound(index));
            }
        }
        Some(upper_bound(BUCKET_COUNT - 1))
    }

    /// Halves the counts of all buckets, rounding down.
    pub fn halve(&self) {
        let mut total = 0;
        for count in &self.counts {
            let half = count.load(Ordering::Relaxed) / 2;
            count.store(half, Ordering::Relaxed);
            total += half;
        }
        self.total.store(total, Ordering::Relaxed);
    }
}

fn bucket_index(span: TimeSpan) -> usize {
    let millis = numbers::millis(span).max(1.0);
    let index = numbers::floor((millis.log2() * BUCKETS_PER_DOUBLING).ceil());
    index.min(BUCKET_COUNT - 1)
}

fn upper_bound(index: usize) -> TimeSpan {
    let millis = (numbers::count(index) / BUCKETS_PER_DOUBLING).exp2();
    TimeSpan::from_millis(numbers::span(millis).as_millis().max(1))
}
