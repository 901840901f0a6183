use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use arc_swap::ArcSwap;
use verbenahub_core::{
    ids::{NodeId, TargetId, ZoneName},
    policy::routing::{TargetEntry, TargetMap, TargetMapConfig},
    protocol::{FeedEntry, VmEntry, VmRole},
};

/// Prefix of the keys of VMs in the membership list.
const KEY_PREFIX: &str = "vms/";

/// The targets in the membership list. Readers take the current map without
/// locking.
#[derive(Debug)]
pub struct TargetVersions {
    config: TargetMapConfig,
    entries: Mutex<BTreeMap<TargetId, VmEntry>>,
    current: ArcSwap<TargetMap>,
}

impl TargetVersions {
    /// Creates an empty map for a node in `zone`.
    #[must_use]
    pub fn new(node: NodeId, zone: ZoneName) -> Self {
        Self {
            config: TargetMapConfig::new(node, zone),
            entries: Mutex::default(),
            current: ArcSwap::default(),
        }
    }

    /// Applies changed entries of the membership list and publishes a new map.
    /// Returns the keys of the entries that cannot be decoded.
    pub fn apply(&self, changes: &[FeedEntry]) -> Vec<String> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let mut undecodable = Vec::new();
        for change in changes {
            if apply_change(&mut entries, change).is_none() {
                undecodable.push(change.key.clone());
            }
        }
        let targets = entries.iter().map(|(target, entry)| TargetEntry {
            target: target.clone(),
            entry: entry.clone(),
        });
        let map = TargetMap::build(&self.config, targets, &self.current.load());
        self.current.store(Arc::new(map));
        undecodable
    }

    /// The current map of targets.
    #[must_use]
    pub fn map(&self) -> Arc<TargetMap> {
        self.current.load_full()
    }
}

/// Applies one change. Returns `None` if it cannot be decoded; the entry is then
/// left unchanged.
fn apply_change(entries: &mut BTreeMap<TargetId, VmEntry>, change: &FeedEntry) -> Option<()> {
    let target: TargetId = change.key.strip_prefix(KEY_PREFIX)?.parse().ok()?;
    let Some(value) = &change.value else {
        entries.remove(&target);
        return Some(());
    };
    let entry: VmEntry = serde_json::from_slice(value).ok()?;
    if entry.role == VmRole::Target {
        entries.insert(target, entry);
    }
    Some(())
}
