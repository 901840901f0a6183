use crate::{
    clock::{ClockTime, TimeSpan},
    ids::NodeId,
    policy::numbers,
};

/// Weight of one second in the moving average of requested tokens.
const TOKEN_DEMAND_WEIGHT: f64 = 0.2;
/// An account holds at most the tokens that the leasable rate yields in this
/// many seconds.
const MAX_TOKEN_SECONDS: f64 = 1.0;
/// Number of lease durations without requests after which an account is
/// removed.
const IDLE_LEASE_DURATIONS: u64 = 5;

/// The leases that an owner has granted on one limit.
///
/// The leased rates and the rate at which the account accumulates single tokens
/// add up to the part of the limit that the owner may lease out.
#[derive(Clone, Debug)]
pub(super) struct LeaseAccount {
    leases: Vec<HolderLease>,
    leasable_rate: f64,
    lease_duration: TimeSpan,
    /// Single tokens that can be granted.
    tokens: f64,
    updated_at: ClockTime,
    /// Moving average of requested tokens per second.
    token_demand: f64,
    tokens_requested: f64,
}

/// The grants that one node holds on one limit.
#[derive(Clone, Debug)]
struct HolderLease {
    holder: NodeId,
    wanted: f64,
    requested_at: ClockTime,
    /// Grants that have not expired. The reply that carried a grant may have
    /// been lost, so the holder may be using any of them.
    open_grants: Vec<OpenGrant>,
}

#[derive(Clone, Copy, Debug)]
struct OpenGrant {
    rate: f64,
    until: ClockTime,
}

impl HolderLease {
    /// The highest rate that the holder may be using, in events per second.
    fn outstanding(&self, now: ClockTime) -> f64 {
        let open = self.open_grants.iter().filter(|grant| grant.until > now);
        open.map(|grant| grant.rate).fold(0.0, f64::max)
    }

    fn renew(&mut self, new: OpenGrant, now: ClockTime) {
        let keep = |grant: &OpenGrant| grant.until > now && grant.rate > new.rate;
        self.open_grants.retain(keep);
        self.open_grants.push(new);
    }
}

impl LeaseAccount {
    pub(super) fn new(now: ClockTime) -> Self {
        Self {
            leases: Vec::new(),
            leasable_rate: 0.0,
            lease_duration: TimeSpan::ZERO,
            tokens: 0.0,
            updated_at: now,
            token_demand: 0.0,
            tokens_requested: 0.0,
        }
    }

    /// Advances the account to `now` and sets the rate in events per second that
    /// may be leased out from now on.
    pub(super) fn update(&mut self, leasable_rate: f64, lease_duration: TimeSpan, now: ClockTime) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let free = (self.leasable_rate - self.outstanding(now)).max(0.0);
        self.tokens = (self.tokens + free * elapsed).min(self.leasable_rate * MAX_TOKEN_SECONDS);
        if elapsed > 0.0 {
            let weight = (elapsed * TOKEN_DEMAND_WEIGHT).min(1.0);
            self.token_demand += weight * (self.tokens_requested / elapsed - self.token_demand);
            self.tokens_requested = 0.0;
        }
        self.updated_at = now;
        self.leasable_rate = leasable_rate;
        self.lease_duration = lease_duration;
        self.leases
            .retain(|lease| lease.requested_at + lease_duration > now);
    }

    /// Grants up to `wanted` single tokens, as far as they are available.
    pub(super) fn grant_tokens(&mut self, wanted: u8) -> u8 {
        self.tokens_requested += f64::from(wanted);
        let mut granted = 0;
        while granted < wanted && self.tokens >= 1.0 {
            self.tokens -= 1.0;
            granted += 1;
        }
        granted
    }

    /// Grants a holder a rate for the lease duration. Returns the rate in events
    /// per second, zero if none is available.
    pub(super) fn grant_rate(&mut self, holder: &NodeId, wanted: f32, now: ClockTime) -> f32 {
        if wanted <= 0.0 {
            return 0.0;
        }
        let own = holder_index(&mut self.leases, holder, now);
        self.leases[own].wanted = f64::from(wanted);
        self.leases[own].requested_at = now;
        let others = self.leases.iter().enumerate();
        let others = others.filter(|(index, _)| *index != own);
        let taken: f64 = others.map(|(_, lease)| lease.outstanding(now)).sum();
        let total = (self.leasable_rate - self.token_demand).max(0.0);
        let fair = fair_share(&self.leases, own, total);
        let rate = fair.min(total - taken).max(0.0);
        let until = now + self.lease_duration;
        self.leases[own].renew(OpenGrant { rate, until }, now);
        round_down(rate)
    }

    /// Whether nothing is leased and there have been no requests for several lease
    /// durations.
    pub(super) fn is_idle(&self, lease_duration: TimeSpan, now: ClockTime) -> bool {
        let recent = |lease: &HolderLease| lease.requested_at + lease_duration > now;
        !self.leases.iter().any(recent)
            && self.updated_at + lease_duration * IDLE_LEASE_DURATIONS < now
    }

    fn outstanding(&self, now: ClockTime) -> f64 {
        let leases = self.leases.iter();
        leases.map(|lease| lease.outstanding(now)).sum()
    }
}

/// The index of a holder's lease, which is added if the holder is new.
fn holder_index(leases: &mut Vec<HolderLease>, holder: &NodeId, now: ClockTime) -> usize {
    let existing = leases.iter().position(|lease| lease.holder == *holder);
    existing.unwrap_or_else(|| {
        leases.push(HolderLease {
            holder: holder.clone(),
            wanted: 0.0,
            requested_at: now,
            open_grants: Vec::new(),
        });
        leases.len() - 1
    })
}

/// The max-min fair share of the holder at index `own`: no holder gets more than
/// it wants, and smaller demands are met first.
fn fair_share(leases: &[HolderLease], own: usize, total: f64) -> f64 {
    let mut demands: Vec<f64> = leases.iter().map(|lease| lease.wanted).collect();
    demands.sort_by(f64::total_cmp);
    let wanted = leases[own].wanted;
    let mut remaining = total;
    let mut count = demands.len();
    for demand in demands {
        let part = remaining / numbers::count(count);
        if demand >= part || demand >= wanted {
            return wanted.min(part);
        }
        remaining -= demand;
        count -= 1;
    }
    wanted.min(remaining)
}

// Rounds toward zero, so that the sum of the grants stays within the total.
#[allow(clippy::cast_possible_truncation)]
fn round_down(rate: f64) -> f32 {
    let rounded = rate as f32;
    if f64::from(rounded) > rate {
        rounded.next_down()
    } else {
        rounded
    }
}
