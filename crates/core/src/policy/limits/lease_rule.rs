use super::{BucketSize, WorkspaceLimit};
use crate::{clock::TimeSpan, policy::numbers, units::RateLimit};

/// How a limit is divided among the nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseRule {
    /// Share of each limit, from 0 to 1, that is divided equally among the
    /// nodes and needs no lease. The rest is leased.
    pub static_share: f64,
    /// Lifetime of a lease.
    pub lease_duration: TimeSpan,
    /// A bucket holds at most the tokens that its current rate yields in this
    /// time.
    pub burst_window: TimeSpan,
}

impl Default for LeaseRule {
    fn default() -> Self {
        Self {
            static_share: 0.2,
            lease_duration: TimeSpan::from_secs(2),
            burst_window: TimeSpan::from_secs(1),
        }
    }
}

impl LeaseRule {
    /// Size of the bucket for a limit at each of `listed` nodes.
    #[must_use]
    pub fn bucket_size(&self, limit: &WorkspaceLimit, listed: usize) -> BucketSize {
        let nodes = numbers::count(listed.max(1));
        BucketSize {
            static_rate: limit.rate.as_per_second() * self.static_share / nodes,
            burst_share: f64::from(limit.burst) / nodes,
            burst_window: self.burst_window,
        }
    }

    /// Rate in events per second that an owner may lease out if it sees `live`
    /// of `listed` nodes. It is proportional to the live nodes, so that the
    /// owners on both sides of a network partition together stay within the
    /// limit.
    #[must_use]
    pub fn leased_rate(&self, limit: RateLimit, live: usize, listed: usize) -> f64 {
        let live_share = numbers::count(live) / numbers::count(listed.max(1));
        limit.as_per_second() * (1.0 - self.static_share) * live_share.min(1.0)
    }
}
