use crate::{clock::TimeSpan, units::RateLimit};

/// Time for which unused permits are kept, so that requests that come in groups
/// use the limit. Short against the seconds over which targets count.
const BURST: TimeSpan = TimeSpan::from_millis(250);
/// Least number of unused permits that are kept, for low limits. With one only, a
/// third of the permits would be lost between requests that come at random.
const MIN_BURST: f64 = 3.0;
/// As [`BURST`], for cold targets, whose requests are counted in every second.
const COLD_BURST: TimeSpan = TimeSpan::from_millis(100);
/// As [`MIN_BURST`], for cold targets.
const MIN_COLD_BURST: f64 = 2.0;

/// How often permits for a target become available, and how many of them are kept
/// while nobody asks for them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitPace {
    pub(super) rate: RateLimit,
    pub(super) max_unused: f64,
    /// Unused permits at the start.
    pub(super) initial: f64,
}

impl PermitPace {
    /// Pace of the owner of a cold target.
    #[must_use]
    pub fn cold(rate: RateLimit) -> Self {
        let burst = rate.as_per_second() * COLD_BURST.as_secs_f64();
        Self {
            rate,
            max_unused: burst.max(MIN_COLD_BURST),
            initial: 0.0,
        }
    }

    /// Pace of one of many nodes that use their shares of the limit of a cold target.
    /// `phase`, from 0 to 1 and different for each node, spreads their first permits.
    /// Without it, 30 nodes at a limit of 22 sent 28 instead of 20 requests in a second.
    #[must_use]
    pub const fn cold_share(rate: RateLimit, phase: f64) -> Self {
        Self {
            rate,
            max_unused: 1.0,
            initial: phase,
        }
    }

    /// The rate.
    #[must_use]
    pub const fn rate(self) -> RateLimit {
        self.rate
    }
}

impl From<RateLimit> for PermitPace {
    fn from(rate: RateLimit) -> Self {
        let burst = rate.as_per_second() * BURST.as_secs_f64();
        Self {
            rate,
            max_unused: burst.max(MIN_BURST),
            initial: 0.0,
        }
    }
}
