use std::time::Duration;

use fastrand::Rng;
use verbenahub_core::units::RateLimit;

use super::BurstSpec;

/// Times of requests: a Poisson process from a seed.
#[derive(Debug)]
pub struct ArrivalSchedule {
    rng: Rng,
    rate: RateLimit,
    burst: Option<BurstSpec>,
    end: Duration,
    offset: Duration,
}

impl ArrivalSchedule {
    /// Creates a schedule from the start of the load to `end`.
    #[must_use]
    pub fn new(seed: u64, rate: RateLimit, burst: Option<BurstSpec>, end: Duration) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            rate,
            burst,
            end,
            offset: Duration::ZERO,
        }
    }

    fn rate_now(&self) -> f64 {
        let burst = self.burst.filter(|burst| burst.covers(self.offset));
        burst.map_or(self.rate, |burst| burst.rate).as_per_second()
    }
}

impl Iterator for ArrivalSchedule {
    type Item = Duration;

    /// The next arrival, as an offset from the start of the load.
    fn next(&mut self) -> Option<Duration> {
        let draw = 1.0 - self.rng.f64();
        let gap = -draw.ln() / self.rate_now();
        self.offset += Duration::try_from_secs_f64(gap).unwrap_or(self.end);
        (self.offset < self.end).then_some(self.offset)
    }
}
