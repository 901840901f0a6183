use std::sync::Arc;

use bytes::Bytes;

use crate::{
    feed::{
        BucketDigests, FeedAssembly, FeedChange, FeedDelta, FeedError, FeedItem, FeedLimits,
        FeedVersion, feed_index::FeedIndex,
    },
    ids::RevisionNumber,
};

/// One node's copy of a feed.
///
/// Each key holds the version with the largest revision seen; at equal
/// revisions the content decides. Deletions are kept as tombstones down to a
/// floor. A key that is absent and not newer than the floor counts as deleted.
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

    /// Revision up to which the replica is complete.
    #[must_use]
    pub const fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// Revision up to which deletions are no longer remembered one by one.
    #[must_use]
    pub const fn floor(&self) -> RevisionNumber {
        self.floor
    }

    /// Revision and digest.
    #[must_use]
    pub fn version(&self) -> FeedVersion {
        FeedVersion {
            revision: self.revision,
            digest: self.index.digest(),
        }
    }

    /// Digests of all buckets of keys.
    #[must_use]
    pub fn digests(&self) -> &BucketDigests {
        self.index.digests()
    }

    /// Number of present keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no key is present.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of remembered deletions.
    #[must_use]
    pub fn tombstone_count(&self) -> usize {
        self.index.tombstone_count()
    }

    /// Bytes of keys and values, tombstones included.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.index.bytes()
    }

    /// The item of a present key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&FeedItem> {
        self.index.get(key).filter(|item| item.value.is_some())
    }

    /// All present items in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = &FeedItem> {
        self.index.items().filter(|item| item.value.is_some())
    }

    /// Takes in a whole run of pages of the platform.
    ///
    /// A run that ends before the revision held comes from a stale service; it
    /// deletes nothing and takes nothing back.
    ///
    /// # Errors
    ///
    /// Fails when the run starts after the revision held or breaks a limit.
    pub fn apply_assembly(&mut self, run: &FeedAssembly) -> Result<FeedChange, FeedError> {
        self.check_start(run.after(), run.is_snapshot())?;
        self.check_limits(run.items())?;
        let mut change = FeedChange::default();
        let authority = if run.is_snapshot() && run.cursor() >= self.revision {
            RevisionNumber::new(u64::MAX)
        } else {
            self.floor
        };
        self.merge_items(run.items(), authority, &mut change);
        if run.cursor() < self.revision {
            return Ok(change);
        }
        if run.is_snapshot() {
            self.delete_absent(run, &mut change);
            self.raise_floor(run.cursor());
        }
        self.advance(run.cursor(), &mut change);
        Ok(change)
    }

    /// Changes after a revision, oldest first, up to `limit_bytes` and at
    /// least one revision.
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

    /// Takes in a whole delta of another node (`more` is ignored; collect the
    /// parts first).
    ///
    /// # Errors
    ///
    /// Fails when the delta starts after the revision held or breaks a limit.
    pub fn apply_delta(&mut self, delta: &FeedDelta) -> Result<FeedChange, FeedError> {
        self.check_start(delta.after, false)?;
        self.check_limits(delta.items.iter())?;
        let mut change = FeedChange::default();
        self.merge_items(delta.items.iter(), delta.floor, &mut change);
        if delta.version.revision < self.revision {
            return Ok(change);
        }
        let equal = self.index.digest() == delta.version.digest;
        if delta.after >= delta.floor {
            self.advance(delta.version.revision, &mut change);
        } else if equal {
            self.raise_floor(delta.floor);
            self.advance(delta.version.revision, &mut change);
        }
        change.needs_repair = !equal;
        Ok(change)
    }

    fn check_start(&self, after: RevisionNumber, snapshot: bool) -> Result<(), FeedError> {
        if snapshot || after <= self.revision {
            return Ok(());
        }
        Err(FeedError::Gap {
            after,
            held: self.revision,
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
            let held = self.index.get(&item.key).map_or(0, FeedItem::size);
            bytes = bytes + item.size() - held;
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
        sender: RevisionNumber,
        change: &mut FeedChange,
    ) where
        I: Iterator<Item = &'a FeedItem>,
    {
        for item in items {
            self.merge_item(item, sender, change);
        }
    }

    /// Takes in an item of a sender with the given floor. Of two replicas that
    /// differ below their floors, the one with the higher floor is right.
    fn merge_item(&mut self, item: &FeedItem, sender: RevisionNumber, change: &mut FeedChange) {
        let newer = match self.index.get(&item.key) {
            Some(held) => held.rank() < item.rank(),
            None => item.revision > self.floor || sender > self.floor,
        };
        if newer {
            self.index.insert(item.clone());
            change.keys.push(Arc::clone(&item.key));
        }
    }

    fn delete_absent(&mut self, run: &FeedAssembly, change: &mut FeedChange) {
        let gone = |item: &&FeedItem| item.revision <= run.cursor() && !run.holds(&item.key);
        let keys: Vec<Arc<str>> = self
            .items()
            .filter(gone)
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
        if let Some(floor) = self.index.excess_tombstone(self.limits.tombstones) {
            self.raise_floor(floor.min(self.revision));
        }
    }
}
