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

const KEY_PREFIX: &str = "vms/";

/// The targets that the membership list names. Readers take a map without
/// waiting.
#[derive(Debug)]
pub struct TargetVersions {
    rule: TargetMapConfig,
    entries: Mutex<BTreeMap<TargetId, VmEntry>>,
    current: ArcSwap<TargetMap>,
}

impl TargetVersions {
    /// Creates an empty map for a node.
    #[must_use]
    pub fn new(node: NodeId, zone: ZoneName) -> Self {
        Self {
            rule: TargetMapConfig::new(node, zone),
            entries: Mutex::default(),
            current: ArcSwap::default(),
        }
    }

    /// Takes in changed entries of the membership list. Returns the keys whose
    /// values cannot be read.
    pub fn apply(&self, changes: &[FeedEntry]) -> Vec<String> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let mut unreadable = Vec::new();
        for change in changes {
            if apply_change(&mut entries, change).is_none() {
                unreadable.push(change.key.clone());
            }
        }
        let targets = entries.iter().map(|(target, entry)| TargetEntry {
            target: target.clone(),
            entry: entry.clone(),
        });
        let map = TargetMap::build(&self.rule, targets, &self.current.load());
        self.current.store(Arc::new(map));
        unreadable
    }

    /// The targets now.
    #[must_use]
    pub fn map(&self) -> Arc<TargetMap> {
        self.current.load_full()
    }
}

/// Applies one change; nothing if it cannot be read. An unreadable value
/// leaves the entry as it was.
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
