use super::ShareSize;
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
};

/// Weight of one interval in the demand.
const DEMAND_WEIGHT: f64 = 0.5;
/// Events per second below which single events are asked for, not a rate.
const RARE_DEMAND: f64 = 1.0;
/// Multiple of the demand that is asked for, so that it can grow.
const HEADROOM: f64 = 1.25;
/// Share of the kept rate above which a lease is asked for.
const ASK_SHARE: f64 = 0.8;
/// Events per second below which a workspace counts as idle.
const IDLE_DEMAND: f64 = 0.001;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The answer to an event that counts against a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// The event is within the limit.
    Allowed,
    /// The event is beyond the limit.
    Refused {
        /// When there will be room at the present rate.
        retry_after: TimeSpan,
    },
}

/// What a node wants of the home for one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShareWish {
    /// Its kept share does.
    Nothing,
    /// Events per second.
    Rate(f64),
    /// Single events.
    Tokens(u8),
}

/// What one node may pass of one workspace's limit: a token bucket filled at
/// the kept rate, and at the leased rate while the lease lasts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareBucket {
    tokens: f64,
    filled: ClockTime,
    leased: f64,
    leased_until: ClockTime,
    demand: f64,
    asked: u32,
}

impl ShareBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(size: &ShareSize, now: ClockTime) -> Self {
        Self {
            tokens: size.saved.max(1.0),
            filled: now,
            ..Self::default()
        }
    }

    /// Counts an event, and passes it if a token is left.
    pub fn try_acquire(&mut self, size: &ShareSize, now: ClockTime) -> LimitDecision {
        self.asked = self.asked.saturating_add(1);
        self.fill(size, now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return LimitDecision::Allowed;
        }
        let rate = (size.kept + self.leased_rate(now)).max(f64::MIN_POSITIVE);
        let wait = (1.0 - self.tokens) / rate * MILLIS_PER_SECOND;
        LimitDecision::Refused {
            retry_after: numbers::span(wait.ceil()),
        }
    }

    fn fill(&mut self, size: &ShareSize, now: ClockTime) {
        let before = self.tokens;
        let elapsed = now.since(self.filled).as_secs_f64();
        let lease_end = self.leased_until.min(now);
        let leased = lease_end.since(self.filled).as_secs_f64();
        self.tokens += size.kept * elapsed + self.leased * leased;
        // Single events that the home has given stay.
        let cap = self.cap(size, now).max(before);
        self.tokens = self.tokens.min(cap);
        self.filled = self.filled.max(now);
    }

    /// Tokens that the bucket may hold.
    fn cap(&self, size: &ShareSize, now: ClockTime) -> f64 {
        let rate = size.kept + self.leased_rate(now);
        let held = rate * size.burst.as_secs_f64();
        held.max(size.saved).max(1.0)
    }

    /// Events per second leased now.
    #[must_use]
    pub fn leased_rate(&self, now: ClockTime) -> f64 {
        if self.leased_until > now {
            self.leased
        } else {
            0.0
        }
    }

    /// Takes in a lease that ends at `until`.
    pub fn lease(&mut self, rate: f64, until: ClockTime, size: &ShareSize, now: ClockTime) {
        self.fill(size, now);
        self.leased = rate;
        self.leased_until = until;
    }

    /// Takes single events in, on top of what the rate allows to be held.
    pub fn add_tokens(&mut self, tokens: u8, size: &ShareSize, now: ClockTime) {
        self.fill(size, now);
        self.tokens += f64::from(tokens);
    }

    /// Ends an interval in which events were counted, and says what the node
    /// wants of the home.
    pub fn end_interval(
        &mut self,
        size: &ShareSize,
        interval: TimeSpan,
        now: ClockTime,
    ) -> ShareWish {
        self.fill(size, now);
        let events = f64::from(self.asked);
        let rate = events / interval.as_secs_f64().max(0.001);
        self.demand += DEMAND_WEIGHT * (rate - self.demand);
        self.asked = 0;
        // A sudden rise counts at once, a fall only slowly.
        let demand = self.demand.max(rate);
        if demand <= size.kept * ASK_SHARE {
            return ShareWish::Nothing;
        }
        if demand >= RARE_DEMAND {
            return ShareWish::Rate(demand * HEADROOM - size.kept);
        }
        let missing = events.max(1.0) - self.tokens;
        if missing <= 0.0 {
            return ShareWish::Nothing;
        }
        ShareWish::Tokens(whole(missing.ceil()))
    }

    /// Whether the bucket can be forgotten: nothing was asked for lately, and
    /// a new one would hold no more.
    #[must_use]
    pub fn is_idle(&self, size: &ShareSize, now: ClockTime) -> bool {
        let quiet = self.demand < IDLE_DEMAND && self.leased_until <= now;
        quiet && self.tokens >= self.cap(size, now)
    }
}

// The cast saturates.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(tokens: f64) -> u8 {
    tokens as u8
}
