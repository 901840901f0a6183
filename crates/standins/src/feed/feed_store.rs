use std::collections::BTreeMap;

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::RevisionNumber,
    protocol::{FeedEntry, FeedPage},
};

/// Bytes of keys and values on one page of changes.
const PAGE_LIMIT_BYTES: usize = 512 << 10;

/// All changes of a feed.
#[derive(Debug, Default)]
pub struct FeedStore {
    changes: Vec<TimedChange>,
    compacted: RevisionNumber,
}

#[derive(Debug)]
struct TimedChange {
    entry: FeedEntry,
    time: ClockTime,
}

impl FeedStore {
    /// Sets or deletes a key; gives the revision of the change.
    pub fn push(&mut self, now: ClockTime, key: String, value: Option<Vec<u8>>) -> RevisionNumber {
        let revision = self.revision().next();
        let entry = FeedEntry {
            key,
            revision,
            value,
        };
        let time = now;
        self.changes.push(TimedChange { entry, time });
        revision
    }

    /// Forgets which keys were deleted up to a revision.
    pub fn compact(&mut self, revision: RevisionNumber) {
        self.compacted = self.compacted.max(revision.min(self.revision()));
    }

    /// The newest revision.
    #[must_use]
    pub fn revision(&self) -> RevisionNumber {
        self.changes
            .last()
            .map_or(RevisionNumber::ZERO, |change| change.entry.revision)
    }

    /// The newest revision that readers see after a lag.
    #[must_use]
    pub fn visible(&self, now: ClockTime, lag: TimeSpan) -> RevisionNumber {
        let seen = self
            .changes
            .iter()
            .rev()
            .find(|change| change.time + lag <= now);
        seen.map_or(RevisionNumber::ZERO, |change| change.entry.revision)
    }

    /// The changes after a revision, as the feed stood at another revision.
    #[must_use]
    pub fn page(&self, after: RevisionNumber, at: RevisionNumber) -> FeedPage {
        if after < self.compacted && after < at {
            self.snapshot(at)
        } else {
            self.changes_after(after, at)
        }
    }

    fn snapshot(&self, at: RevisionNumber) -> FeedPage {
        let latest = self.latest(RevisionNumber::ZERO, at);
        let entries = latest
            .into_iter()
            .filter(|entry| entry.value.is_some())
            .collect();
        FeedPage {
            revision: at,
            snapshot: true,
            more: false,
            entries,
        }
    }

    fn changes_after(&self, after: RevisionNumber, at: RevisionNumber) -> FeedPage {
        let latest = self.latest(after, at);
        let mut page = FeedPage {
            revision: at,
            ..FeedPage::default()
        };
        let mut size = 0;
        for entry in latest {
            size += entry.key.len() + entry.value.as_ref().map_or(0, Vec::len);
            if size > PAGE_LIMIT_BYTES && !page.entries.is_empty() {
                page.more = true;
                break;
            }
            page.entries.push(entry);
        }
        if let (true, Some(last)) = (page.more, page.entries.last()) {
            page.revision = last.revision;
        }
        page
    }

    /// The latest entry of each key changed in a range, in order of revisions.
    fn latest(&self, after: RevisionNumber, at: RevisionNumber) -> Vec<FeedEntry> {
        let mut keys: BTreeMap<&str, &FeedEntry> = BTreeMap::new();
        let entries = self.changes.iter().map(|change| &change.entry);
        for entry in entries.filter(|entry| entry.revision > after && entry.revision <= at) {
            keys.insert(&entry.key, entry);
        }
        let mut latest: Vec<FeedEntry> = keys.into_values().cloned().collect();
        latest.sort_by_key(|entry| entry.revision);
        latest
    }
}
