//! Repair of replicas by comparing them bucket by bucket. Needed if two replicas
//! differ at the same revision, or if the tombstones of the deletions between
//! their revisions have been discarded.

use std::{collections::HashSet, sync::Arc};

use super::{
    BUCKET_COUNT, BucketDigests, FeedChange, FeedError, FeedItem, FeedReplica, RepairFetch,
    RepairItems, RepairList, RepairPlan,
};

impl FeedReplica {
    /// Lists the digests of the items in buckets that differ from `digests`. The
    /// number of buckets is limited so that they have about `limit` items.
    #[must_use]
    pub fn list_differences(&self, digests: &BucketDigests, limit: usize) -> RepairList {
        let mut list = RepairList {
            version: self.version(),
            floor: self.floor,
            ..RepairList::default()
        };
        let items_per_bucket = self.len() / BUCKET_COUNT + 1;
        let buckets = self.digests().differing(digests);
        let max_buckets = (limit / items_per_bucket).max(1);
        list.buckets = buckets.into_iter().take(max_buckets).collect();
        list.digests = self.items_in(&list.buckets).map(FeedItem::digest).collect();
        list
    }

    /// Decides from another node's list which items to fetch, offer and remove.
    /// Offers about `limit_bytes` at most; the next repair offers the rest.
    #[must_use]
    pub fn plan_repair(&self, list: &RepairList, limit_bytes: usize) -> RepairPlan {
        let theirs: HashSet<u64> = list.digests.iter().copied().collect();
        let mut wanted = theirs.clone();
        let mut plan = RepairPlan::default();
        let mut bytes = 0;
        for item in self.items_in(&list.buckets) {
            let digest = item.digest();
            wanted.remove(&digest);
            if theirs.contains(&digest) {
                continue;
            }
            if item.revision <= list.floor && list.floor >= self.floor {
                plan.removals.push((Arc::clone(&item.key), digest));
            } else if bytes < limit_bytes {
                bytes += item.size();
                plan.fetch.offered.push(item.clone());
            }
        }
        plan.fetch.floor = self.floor;
        plan.fetch.buckets.clone_from(&list.buckets);
        plan.fetch.wanted = wanted.into_iter().collect();
        plan.fetch.wanted.sort_unstable();
        plan
    }

    /// Answers a fetch: merges the offered items, and returns the requested ones
    /// up to about `limit_bytes`.
    ///
    /// # Errors
    ///
    /// Fails if a limit would be exceeded.
    pub fn answer_fetch(
        &mut self,
        fetch: &RepairFetch,
        limit_bytes: usize,
    ) -> Result<(RepairItems, FeedChange), FeedError> {
        self.check_limits(fetch.offered.iter())?;
        let mut change = FeedChange::default();
        self.merge_items(fetch.offered.iter(), fetch.floor, &mut change);
        let wanted: HashSet<u64> = fetch.wanted.iter().copied().collect();
        let is_wanted = |item: &&FeedItem| wanted.contains(&item.digest());
        let found = self.items_in(&fetch.buckets).filter(is_wanted);
        let deleted = fetch
            .offered
            .iter()
            .filter_map(|item| self.tombstone_of(item));
        let mut answer = RepairItems {
            version: self.version(),
            floor: self.floor,
            ..RepairItems::default()
        };
        let mut bytes = 0;
        for item in found.chain(deleted) {
            if bytes >= limit_bytes {
                answer.more = true;
                break;
            }
            bytes += item.size();
            answer.items.push(item.clone());
        }
        Ok((answer, change))
    }

    /// Returns the tombstone of an item's key, if the key is deleted.
    fn tombstone_of(&self, item: &FeedItem) -> Option<&FeedItem> {
        let existing = self.index.get(&item.key)?;
        existing.value.is_none().then_some(existing)
    }

    /// Completes a repair with the other node's answer to the fetch.
    ///
    /// # Errors
    ///
    /// Fails if a limit would be exceeded.
    pub fn apply_repair(
        &mut self,
        plan: &RepairPlan,
        answer: &RepairItems,
    ) -> Result<FeedChange, FeedError> {
        self.check_limits(answer.items.iter())?;
        let mut change = FeedChange::default();
        self.merge_items(answer.items.iter(), answer.floor, &mut change);
        // A removed item may be the older version of one that the answer left out.
        // It stays until the newer version has arrived.
        let removals = plan.removals.iter().filter(|_| !answer.more);
        for (key, digest) in removals {
            if self.get(key).is_some_and(|item| item.digest() == *digest) {
                self.index.remove(key);
                change.keys.push(Arc::clone(key));
            }
        }
        let is_equal = self.index.digest() == answer.version.digest;
        if is_equal && answer.version.revision >= self.revision() {
            self.raise_floor(answer.floor);
            self.advance(answer.version.revision, &mut change);
        }
        change.needs_repair = !is_equal;
        Ok(change)
    }

    fn items_in<'a>(&'a self, buckets: &[u8]) -> impl Iterator<Item = &'a FeedItem> {
        let selected: HashSet<u8> = buckets.iter().copied().collect();
        self.items()
            .filter(move |item| selected.contains(&BucketDigests::bucket_of(&item.key)))
    }
}
