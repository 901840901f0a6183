use std::time::Duration;

use verbenahub_core::units::RateLimit;

/// A time within a load when requests come at another rate.
#[derive(Clone, Copy, Debug)]
pub struct BurstSpec {
    /// Rate during the burst.
    pub rate: RateLimit,
    /// Begin, from the start of the load.
    pub start: Duration,
    /// Length of the burst.
    pub length: Duration,
}

impl BurstSpec {
    /// Whether the burst is on at `offset` from the start of the load.
    #[must_use]
    pub fn covers(&self, offset: Duration) -> bool {
        (self.start..self.start + self.length).contains(&offset)
    }
}
