use crate::{clock::TimeSpan, policy::numbers};

/// Parameters of outlier detection: when targets are ejected, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthRule {
    /// Consecutive failures after which a target is ejected.
    pub failure_limit: u32,
    /// Multiple of its pool's median service time above which a target counts as
    /// slow.
    pub slow_factor: f64,
    /// Number of calls that a target must have answered before it can count as
    /// slow.
    pub slow_samples: u32,
    /// Duration of the first ejection. Doubles with each further one.
    pub first_ejection: TimeSpan,
    /// Maximum duration of an ejection.
    pub longest_ejection: TimeSpan,
    /// Maximum share of a pool's targets that may be ejected at the same time.
    pub ejected_share: f64,
    /// Time after an ejection over which a target returns to its full share of
    /// calls.
    pub slow_start: TimeSpan,
}

impl Default for HealthRule {
    fn default() -> Self {
        Self {
            failure_limit: 5,
            slow_factor: 3.0,
            slow_samples: 10,
            first_ejection: TimeSpan::from_secs(2),
            longest_ejection: TimeSpan::from_secs(60),
            ejected_share: 0.34,
            slow_start: TimeSpan::from_secs(10),
        }
    }
}

impl HealthRule {
    /// Maximum number of targets that may be ejected at the same time in a pool of
    /// `size` targets.
    #[must_use]
    pub fn ejected_limit(&self, size: usize) -> usize {
        numbers::floor(numbers::count(size) * self.ejected_share)
    }

    /// Duration of an ejection after `earlier` recent ones.
    #[must_use]
    pub fn ejection_span(&self, earlier: u32) -> TimeSpan {
        let factor = 1_u64 << earlier.min(16);
        (self.first_ejection * factor).min(self.longest_ejection)
    }
}
