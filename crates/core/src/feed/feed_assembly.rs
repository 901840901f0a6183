use std::{collections::BTreeMap, sync::Arc};

use super::FeedItem;
use crate::{ids::RevisionNumber, protocol::FeedPage};

/// Collects the pages of one read from the platform, or the parts of one
/// transfer from a peer. A replica applies them at once, so that it never shows
/// a state between two pages.
#[derive(Clone, Debug)]
pub struct FeedAssembly {
    after: RevisionNumber,
    cursor: RevisionNumber,
    snapshot: bool,
    items: BTreeMap<Arc<str>, FeedItem>,
}

impl FeedAssembly {
    /// Creates an assembly of the changes after a revision.
    #[must_use]
    pub fn new(after: RevisionNumber) -> Self {
        Self {
            after,
            cursor: after,
            snapshot: false,
            items: BTreeMap::new(),
        }
    }

    /// Adds the next page. Returns whether it was the last one.
    pub fn push_page(&mut self, page: &FeedPage) -> bool {
        if page.snapshot && !self.snapshot {
            self.snapshot = true;
            self.items.clear();
        }
        self.push_items(page.entries.iter().map(FeedItem::from));
        self.cursor = page.revision;
        !page.more
    }

    /// Adds items, for example those of a part of a peer's delta. Of two versions
    /// of a key, the one with the larger [`FeedItem::rank`] is kept.
    pub(crate) fn push_items<I>(&mut self, items: I)
    where
        I: IntoIterator<Item = FeedItem>,
    {
        for item in items {
            let is_newer = |existing: &FeedItem| existing.rank() < item.rank();
            if self.items.get(&item.key).is_none_or(is_newer) {
                self.items.insert(Arc::clone(&item.key), item);
            }
        }
    }

    /// Returns the revision after which to request the next page.
    #[must_use]
    pub const fn cursor(&self) -> RevisionNumber {
        self.cursor
    }

    /// Returns the revision after which the changes start.
    #[must_use]
    pub const fn after(&self) -> RevisionNumber {
        self.after
    }

    /// Whether the assembly is a snapshot of all keys, instead of changes.
    #[must_use]
    pub const fn is_snapshot(&self) -> bool {
        self.snapshot
    }

    /// Returns the size of the collected keys and values, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.items.values().map(FeedItem::size).sum()
    }

    /// Returns the collected items, ordered by revision.
    pub(crate) fn into_items(self) -> Vec<FeedItem> {
        let mut items: Vec<FeedItem> = self.items.into_values().collect();
        items.sort_by_key(|item| item.revision);
        items
    }

    pub(super) fn items(&self) -> impl Iterator<Item = &FeedItem> {
        self.items.values()
    }

    pub(super) fn has_value(&self, key: &str) -> bool {
        self.items.get(key).is_some_and(|item| item.value.is_some())
    }
}
