use super::BucketSize;
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
};

/// Weight of one interval in the moving average of the demand.
const DEMAND_WEIGHT: f64 = 0.5;
/// Demand in events per second below which single tokens are requested instead
/// of a rate.
const MIN_RATE_DEMAND: f64 = 1.0;
/// Multiple of the demand that is requested, so that the demand can grow.
const LEASE_HEADROOM: f64 = 1.25;
/// Share of the static rate above which a lease is requested.
const LEASE_THRESHOLD: f64 = 0.8;
/// Demand in events per second below which a workspace counts as idle.
const IDLE_DEMAND: f64 = 0.001;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Whether an event is within its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// The event is within the limit.
    Allowed,
    /// The event exceeds the limit.
    Refused {
        /// Time until the next token is available at the current rate.
        retry_after: TimeSpan,
    },
}

/// What a node needs to request from the owner of one workspace's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseDemand {
    /// Nothing: the tokens and the static rate of the node are enough.
    None,
    /// A rate in events per second.
    Rate(f64),
    /// A number of single tokens.
    Tokens(u8),
}

/// The token bucket of one node for one workspace. It is refilled at the static
/// rate, and also at the leased rate until the lease expires.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitBucket {
    tokens: f64,
    refilled_at: ClockTime,
    lease_rate: f64,
    leased_until: ClockTime,
    mean_demand: f64,
    interval_events: u32,
}

impl LimitBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(size: &BucketSize, now: ClockTime) -> Self {
        Self {
            tokens: size.burst_share.max(1.0),
            refilled_at: now,
            ..Self::default()
        }
    }

    /// Counts an event and allows it if a token is left.
    pub fn try_acquire(&mut self, size: &BucketSize, now: ClockTime) -> LimitDecision {
        self.interval_events = self.interval_events.saturating_add(1);
        self.refill(size, now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return LimitDecision::Allowed;
        }
        let rate = (size.static_rate + self.leased_rate(now)).max(f64::MIN_POSITIVE);
        let wait = (1.0 - self.tokens) / rate * MILLIS_PER_SECOND;
        LimitDecision::Refused {
            retry_after: numbers::span(wait.ceil()),
        }
    }

    fn refill(&mut self, size: &BucketSize, now: ClockTime) {
        let before = self.tokens;
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let lease_end = self.leased_until.min(now);
        let leased = lease_end.since(self.refilled_at).as_secs_f64();
        self.tokens += size.static_rate * elapsed + self.lease_rate * leased;
        // Tokens granted by the owner may exceed the capacity and are kept.
        let capacity = self.capacity(size, now).max(before);
        self.tokens = self.tokens.min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Number of tokens that refilling may accumulate.
    fn capacity(&self, size: &BucketSize, now: ClockTime) -> f64 {
        let rate = size.static_rate + self.leased_rate(now);
        let tokens = rate * size.burst_window.as_secs_f64();
        tokens.max(size.burst_share).max(1.0)
    }

    /// The leased rate in events per second; zero if the lease has expired.
    #[must_use]
    pub fn leased_rate(&self, now: ClockTime) -> f64 {
        if self.leased_until > now {
            self.lease_rate
        } else {
            0.0
        }
    }

    /// Replaces the lease by one of `rate` events per second that expires at
    /// `until`.
    pub fn set_lease(&mut self, rate: f64, until: ClockTime, size: &BucketSize, now: ClockTime) {
        self.refill(size, now);
        self.lease_rate = rate;
        self.leased_until = until;
    }

    /// Adds single tokens, even beyond the capacity of the bucket.
    pub fn add_tokens(&mut self, tokens: u8, size: &BucketSize, now: ClockTime) {
        self.refill(size, now);
        self.tokens += f64::from(tokens);
    }

    /// Ends an interval in which events were counted, and returns what the node
    /// needs to request from the owner.
    pub fn end_interval(
        &mut self,
        size: &BucketSize,
        interval: TimeSpan,
        now: ClockTime,
    ) -> LeaseDemand {
        self.refill(size, now);
        let events = f64::from(self.interval_events);
        let rate = events / interval.as_secs_f64().max(0.001);
        self.mean_demand += DEMAND_WEIGHT * (rate - self.mean_demand);
        self.interval_events = 0;
        // A rise in demand counts at once, a fall only gradually.
        let demand = self.mean_demand.max(rate);
        if demand <= size.static_rate * LEASE_THRESHOLD {
            return LeaseDemand::None;
        }
        if demand >= MIN_RATE_DEMAND {
            return LeaseDemand::Rate(demand * LEASE_HEADROOM - size.static_rate);
        }
        let missing = events.max(1.0) - self.tokens;
        if missing <= 0.0 {
            return LeaseDemand::None;
        }
        LeaseDemand::Tokens(as_u8(missing.ceil()))
    }

    /// Whether the bucket can be removed: there is no recent demand and no lease,
    /// and a new bucket would hold no more tokens.
    #[must_use]
    pub fn is_idle(&self, size: &BucketSize, now: ClockTime) -> bool {
        let quiet = self.mean_demand < IDLE_DEMAND && self.leased_until <= now;
        quiet && self.tokens >= self.capacity(size, now)
    }
}

// The cast saturates.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn as_u8(tokens: f64) -> u8 {
    tokens as u8
}
