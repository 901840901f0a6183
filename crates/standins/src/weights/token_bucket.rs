use std::time::Duration;

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    units::RateLimit,
};

/// Limits a rate; one second's worth may come at once.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: RateLimit,
    tokens: f64,
    time: ClockTime,
}

/// Rate below which the bucket does not refill, in events per second.
const LEAST_RATE: f64 = 1e-6;

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(rate: RateLimit) -> Self {
        Self {
            rate,
            tokens: capacity(rate),
            time: ClockTime::ZERO,
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Fails with the time until there will be one.
    pub fn take(&mut self, now: ClockTime) -> Result<(), TimeSpan> {
        let refill = now.since(self.time).as_secs_f64() * self.rate.as_per_second();
        self.tokens = (self.tokens + refill).min(capacity(self.rate));
        self.time = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let rate = self.rate.as_per_second().max(LEAST_RATE);
        let wait = Duration::from_secs_f64((1.0 - self.tokens) / rate);
        Err(TimeSpan::from(wait).max(TimeSpan::from_millis(1)))
    }
}

fn capacity(rate: RateLimit) -> f64 {
    rate.as_per_second().max(1.0)
}
