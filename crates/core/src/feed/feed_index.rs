use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    sync::Arc,
};

use super::{BucketDigests, FeedItem};
use crate::ids::RevisionNumber;

type RevisionKey = (RevisionNumber, Arc<str>);

/// Items of a replica, indexed by key and by revision. Maintains their digests
/// and total size.
#[derive(Clone, Debug, Default)]
pub(super) struct FeedIndex {
    items: BTreeMap<Arc<str>, FeedItem>,
    revisions: BTreeSet<RevisionKey>,
    tombstones: BTreeSet<RevisionKey>,
    digests: BucketDigests,
    total_digest: u64,
    bytes: usize,
}

impl FeedIndex {
    pub(super) fn get(&self, key: &str) -> Option<&FeedItem> {
        self.items.get(key)
    }

    pub(super) fn items(&self) -> impl Iterator<Item = &FeedItem> {
        self.items.values()
    }

    pub(super) fn items_after(&self, revision: RevisionNumber) -> impl Iterator<Item = &FeedItem> {
        let start = (revision.next(), Arc::from(""));
        self.revisions
            .range((Bound::Included(start), Bound::Unbounded))
            .filter_map(|(_, key)| self.items.get(key))
    }

    pub(super) fn digests(&self) -> &BucketDigests {
        &self.digests
    }

    pub(super) fn digest(&self) -> u64 {
        self.total_digest
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn len(&self) -> usize {
        self.items.len() - self.tombstones.len()
    }

    pub(super) fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    pub(super) fn insert(&mut self, item: FeedItem) {
        self.remove(&item.key);
        let digest = item.digest();
        self.total_digest = self.total_digest.wrapping_add(digest);
        self.digests.add(&item.key, digest);
        self.bytes += item.size();
        let revision_key = (item.revision, Arc::clone(&item.key));
        if item.value.is_none() {
            self.tombstones.insert(revision_key.clone());
        }
        self.revisions.insert(revision_key);
        self.items.insert(Arc::clone(&item.key), item);
    }

    pub(super) fn remove(&mut self, key: &str) {
        let Some(item) = self.items.remove(key) else {
            return;
        };
        let digest = item.digest();
        self.total_digest = self.total_digest.wrapping_sub(digest);
        self.digests.subtract(key, digest);
        self.bytes -= item.size();
        let revision_key = (item.revision, item.key);
        self.revisions.remove(&revision_key);
        self.tombstones.remove(&revision_key);
    }

    /// Removes the tombstones up to a revision.
    pub(super) fn drop_tombstones(&mut self, floor: RevisionNumber) {
        while let Some((_, key)) = self.tombstones.first().filter(|oldest| oldest.0 <= floor) {
            let key = Arc::clone(key);
            self.remove(&key);
        }
    }

    /// Returns the revision up to which tombstones must be removed so that at most
    /// `limit` remain.
    pub(super) fn excess_tombstone_revision(&self, limit: usize) -> Option<RevisionNumber> {
        let excess = self.tombstones.len().checked_sub(limit)?;
        let newest = self.tombstones.iter().take(excess).next_back()?;
        Some(newest.0)
    }
}
