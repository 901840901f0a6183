use std::time::Instant;

use verbenahub_core::clock::ClockTime;

/// Reads the time since the stand-in started.
#[derive(Clone, Copy, Debug)]
pub struct StandinClock {
    origin: Instant,
}

impl StandinClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        let origin = Instant::now();
        Self { origin }
    }

    /// The present reading.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        let millis = self.origin.elapsed().as_millis();
        ClockTime::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}
