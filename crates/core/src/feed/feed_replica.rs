use std::sync::Arc;

use bytes::Bytes;

use crate::{
    feed::{
        BucketDigests, FeedAssembly, FeedChange, FeedDelta, FeedError, FeedItem, FeedLimits,
        FeedVersion, feed_index::FeedIndex,
    },
    ids::RevisionNumber,
};

/// A node's copy of a feed.
///
/// For each key the replica stores the version with the largest revision; at
/// equal revisions the hash of the value decides. Deletions are kept as
/// tombstones. Tombstones up to the floor, a revision, are discarded: an absent
/// key whose last change is not later than the floor counts as deleted.
#[derive(Clone, Debug, Default)]
pub struct FeedReplica {
    limits: FeedLimits,
    revision: RevisionNumber,
    pub(super) floor: RevisionNumber,
    pub(super) index: FeedIndex,
}

impl FeedReplica {
    /// Creates an empty replica.
    #[must_use]
    pub fn new(limits: FeedLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns the revision up to which the replica is complete.
    #[must_use]
    pub const fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// Returns the floor: the revision up to which tombstones have been discarded.
    #[must_use]
    pub const fn floor(&self) -> RevisionNumber {
        self.floor
    }

    /// Returns the revision and the digest over all keys.
    #[must_use]
    pub fn version(&self) -> FeedVersion {
        FeedVersion {
            revision: self.revision,
            digest: self.index.digest(),
        }
    }

    /// Returns the digests of all buckets of keys.
    #[must_use]
    pub fn digests(&self) -> &BucketDigests {
        self.index.digests()
    }

    /// Returns the number of keys that are not deleted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether there are no keys other than deleted ones.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of tombstones.
    #[must_use]
    pub fn tombstone_count(&self) -> usize {
        self.index.tombstone_count()
    }

    /// Returns the size of all keys and values, in bytes, tombstones included.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.index.bytes()
    }

    /// Returns the item of a key, unless the key is deleted or unknown.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&FeedItem> {
        self.index.get(key).filter(|item| item.value.is_some())
    }

    /// Returns all items that are not tombstones, ordered by key.
    pub fn items(&self) -> impl Iterator<Item = &FeedItem> {
        self.index.items().filter(|item| item.value.is_some())
    }

    /// Applies the pages of a complete read from the platform.
    ///
    /// A read that ends before the revision of the replica comes from a stale
    /// service instance. It deletes no keys and reverts none.
    ///
    /// # Errors
    ///
    /// Fails if the pages start after the revision of the replica, or if a limit
    /// would be exceeded.
    pub fn apply_assembly(&mut self, assembly: &FeedAssembly) -> Result<FeedChange, FeedError> {
        self.check_for_gap(assembly.after(), assembly.is_snapshot())?;
        self.check_limits(assembly.items())?;
        let mut change = FeedChange::default();
        let sender_floor = if assembly.is_snapshot() && assembly.cursor() >= self.revision {
            RevisionNumber::new(u64::MAX)
        } else {
            self.floor
        };
        self.merge_items(assembly.items(), sender_floor, &mut change);
        if assembly.cursor() < self.revision {
            return Ok(change);
        }
        if assembly.is_snapshot() {
            self.delete_absent(assembly, &mut change);
            self.raise_floor(assembly.cursor());
        }
        self.advance(assembly.cursor(), &mut change);
        Ok(change)
    }

    /// Returns the changes after a revision, oldest first. The delta has at most
    /// `limit_bytes` of keys and values, but always covers at least one revision.
    #[must_use]
    pub fn delta_after(&self, after: RevisionNumber, limit_bytes: usize) -> FeedDelta {
        let mut items: Vec<FeedItem> = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for item in self.index.items_after(after) {
            let last = items.last().map(|last: &FeedItem| last.revision);
            bytes += item.size();
            if bytes > limit_bytes && last.is_some_and(|revision| revision < item.revision) {
                more = true;
                break;
            }
            items.push(item.clone());
        }
        FeedDelta {
            after,
            version: self.version(),
            floor: self.floor,
            more,
            items,
        }
    }

    /// Applies a complete delta from another node. `more` is ignored: the caller
    /// collects all parts first.
    ///
    /// # Errors
    ///
    /// Fails if the delta starts after the revision of the replica, or if a limit
    /// would be exceeded.
    pub fn apply_delta(&mut self, delta: &FeedDelta) -> Result<FeedChange, FeedError> {
        self.check_for_gap(delta.after, false)?;
        self.check_limits(delta.items.iter())?;
        let mut change = FeedChange::default();
        self.merge_items(delta.items.iter(), delta.floor, &mut change);
        if delta.version.revision < self.revision {
            return Ok(change);
        }
        let is_equal = self.index.digest() == delta.version.digest;
        if delta.after >= delta.floor {
            self.advance(delta.version.revision, &mut change);
        } else if is_equal {
            self.raise_floor(delta.floor);
            self.advance(delta.version.revision, &mut change);
        }
        change.needs_repair = !is_equal;
        Ok(change)
    }

    fn check_for_gap(&self, after: RevisionNumber, snapshot: bool) -> Result<(), FeedError> {
        if snapshot || after <= self.revision {
            return Ok(());
        }
        Err(FeedError::Gap {
            after,
            complete_up_to: self.revision,
        })
    }

    pub(super) fn check_limits<'a, I>(&self, items: I) -> Result<(), FeedError>
    where
        I: Iterator<Item = &'a FeedItem>,
    {
        let mut bytes = self.index.bytes();
        for item in items {
            let length = item.value.as_ref().map_or(0, Bytes::len);
            if length > self.limits.value_bytes {
                return Err(FeedError::ValueTooLarge {
                    key: item.key.as_ref().to_owned(),
                    length,
                    limit: self.limits.value_bytes,
                });
            }
            let replaced_size = self.index.get(&item.key).map_or(0, FeedItem::size);
            bytes = bytes + item.size() - replaced_size;
        }
        if bytes > self.limits.total_bytes {
            return Err(FeedError::FeedTooLarge {
                bytes,
                limit: self.limits.total_bytes,
            });
        }
        Ok(())
    }

    pub(super) fn merge_items<'a, I>(
        &mut self,
        items: I,
        sender_floor: RevisionNumber,
        change: &mut FeedChange,
    ) where
        I: Iterator<Item = &'a FeedItem>,
    {
        for item in items {
            self.merge_item(item, sender_floor, change);
        }
    }

    /// Merges an item from a sender with the given floor. Of two replicas that
    /// differ below their floors, the one with the higher floor is correct.
    fn merge_item(
        &mut self,
        item: &FeedItem,
        sender_floor: RevisionNumber,
        change: &mut FeedChange,
    ) {
        let is_newer = match self.index.get(&item.key) {
            Some(existing) => existing.rank() < item.rank(),
            None => item.revision > self.floor || sender_floor > self.floor,
        };
        if is_newer {
            self.index.insert(item.clone());
            change.keys.push(Arc::clone(&item.key));
        }
    }

    fn delete_absent(&mut self, assembly: &FeedAssembly, change: &mut FeedChange) {
        let is_deleted =
            |item: &&FeedItem| item.revision <= assembly.cursor() && !assembly.has_value(&item.key);
        let keys: Vec<Arc<str>> = self
            .items()
            .filter(is_deleted)
            .map(|item| Arc::clone(&item.key))
            .collect();
        for key in keys {
            self.index.remove(&key);
            change.keys.push(key);
        }
    }

    pub(super) fn raise_floor(&mut self, floor: RevisionNumber) {
        if floor > self.floor {
            self.floor = floor;
            self.index.drop_tombstones(floor);
        }
    }

    pub(super) fn advance(&mut self, revision: RevisionNumber, change: &mut FeedChange) {
        if revision > self.revision {
            self.revision = revision;
            change.advanced = true;
        }
        if let Some(floor) = self.index.excess_tombstone_revision(self.limits.tombstones) {
            self.raise_floor(floor.min(self.revision));
        }
    }
}
