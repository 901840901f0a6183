use std::{collections::BTreeMap, sync::Arc};

use super::{PoolStats, TargetEntry, TargetMapConfig, TargetPool, TargetStats, TargetVm};
use crate::{
    ids::{PoolName, TargetId},
    protocol::{VmEntry, VmRole},
};

/// The targets of one version of the membership list, by pool. Immutable.
#[derive(Debug, Default)]
pub struct TargetMap {
    pools: BTreeMap<PoolName, Arc<TargetPool>>,
}

impl TargetMap {
    /// Builds the map from the entries of the membership list. Statistics are
    /// carried over from the map of the previous version.
    #[must_use]
    pub fn build<I>(config: &TargetMapConfig, entries: I, previous: &Self) -> Self
    where
        I: IntoIterator<Item = TargetEntry>,
    {
        let mut members: BTreeMap<PoolName, Vec<Arc<TargetVm>>> = BTreeMap::new();
        for TargetEntry { target, entry } in entries {
            if entry.role != VmRole::Target {
                continue;
            }
            let stats = previous.stats_for(&target, &entry);
            if let Some(vm) = TargetVm::from_entry(target, entry, &config.zone, stats) {
                members
                    .entry(vm.pool.clone())
                    .or_default()
                    .push(Arc::new(vm));
            }
        }
        let pools = members.into_iter().map(|(name, targets)| {
            let stats = previous.pool_stats(&name);
            (name, Arc::new(TargetPool::new(config, targets, stats)))
        });
        Self {
            pools: pools.collect(),
        }
    }

    /// Returns a pool by name.
    #[must_use]
    pub fn pool(&self, name: &PoolName) -> Option<&Arc<TargetPool>> {
        self.pools.get(name)
    }

    /// Iterates over all pools and their names.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolName, &Arc<TargetPool>)> {
        self.pools.iter()
    }

    /// Iterates over the targets of all pools.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<TargetVm>> {
        self.pools.values().flat_map(|pool| pool.targets())
    }

    fn stats_for(&self, target: &TargetId, entry: &VmEntry) -> Arc<TargetStats> {
        let known = entry
            .pool
            .as_ref()
            .and_then(|name| self.pools.get(name))
            .and_then(|pool| pool.target(target))
            .filter(|vm| vm.address == entry.address);
        known.map_or_else(Arc::default, |vm| Arc::clone(&vm.stats))
    }

    fn pool_stats(&self, name: &PoolName) -> Arc<PoolStats> {
        let known = self.pools.get(name);
        known.map_or_else(Arc::default, |pool| Arc::clone(pool.stats()))
    }
}
