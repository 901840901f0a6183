use std::{net::SocketAddr, sync::Arc};

use super::TargetStats;
use crate::{
    clock::ClockTime,
    ids::{ModelName, PoolName, TargetId, ZoneName},
    protocol::{VmEntry, VmState},
};

/// A target of one version of the membership list.
#[derive(Clone, Debug)]
pub struct TargetVm {
    /// The target.
    pub target: TargetId,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its pool.
    pub pool: PoolName,
    /// Models that it can load; empty if it is not an engine.
    pub models: Vec<ModelName>,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_fence: bool,
    /// Whether it is in this node's availability zone.
    pub same_zone: bool,
    /// Its statistics, kept across versions of the membership list.
    pub stats: Arc<TargetStats>,
    leaving: bool,
    capacity: Option<u32>,
}

impl TargetVm {
    /// Creates a target from its entry in the membership list. Returns `None` for
    /// an entry without a pool.
    #[must_use]
    pub fn from_entry(
        target: TargetId,
        entry: VmEntry,
        own_zone: &ZoneName,
        stats: Arc<TargetStats>,
    ) -> Option<Self> {
        Some(Self {
            target,
            address: entry.address,
            same_zone: entry.zone == *own_zone,
            zone: entry.zone,
            pool: entry.pool?,
            models: entry.models,
            checks_fence: entry.checks_fence,
            stats,
            leaving: entry.state == VmState::Leaving,
            capacity: entry.capacity,
        })
    }

    /// Whether it is leaving according to the membership list or its load reports.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.stats.report().is_leaving()
    }

    /// Whether it is currently ejected because it failed or was slow.
    #[must_use]
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        self.stats.health().is_ejected(now)
    }

    /// Whether it can serve the model; true if `model` is `None`.
    #[must_use]
    pub fn can_serve(&self, model: Option<&ModelName>) -> bool {
        model.is_none_or(|model| self.models.is_empty() || self.models.contains(model))
    }

    /// Whether it may have loaded the model; true if `model` is `None`.
    #[must_use]
    pub fn may_have_loaded(&self, model: Option<&ModelName>) -> bool {
        model.is_none_or(|model| self.stats.may_have_loaded(model))
    }

    /// Maximum number of calls that it runs concurrently, at least 1; 1 if unknown.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        self.known_capacity().unwrap_or(1)
    }

    /// Maximum number of calls that it runs concurrently, as it reported or else as
    /// the membership list declares; `None` if unknown.
    #[must_use]
    pub fn known_capacity(&self) -> Option<u32> {
        let reported = self.stats.report().capacity();
        let known = (reported > 0).then_some(reported).or(self.capacity);
        known.map(|calls| calls.max(1))
    }
}
