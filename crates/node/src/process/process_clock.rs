use std::time::Instant;

use verbenahub_core::clock::ClockTime;

/// The clock of this process. It goes on while the process is paused.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The present reading.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        let millis = self.origin.elapsed().as_millis();
        ClockTime::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}
