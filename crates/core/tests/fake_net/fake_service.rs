use std::collections::BTreeMap;

use verbenahub_core::{
    ids::RevisionNumber,
    protocol::{FeedEntry, FeedPage},
};

/// The platform's service of one feed, with its history of changes and the faults
/// that it shows to readers.
#[derive(Debug, Default)]
pub struct FakeService {
    history: Vec<FeedEntry>,
    /// Whether calls fail.
    pub down: bool,
    /// If set, only this number of changes is visible to readers.
    pub stale_at: Option<usize>,
    /// Changes up to this number are compacted: reads from before it return a
    /// snapshot.
    pub compacted_until: usize,
    /// A key for which readers with an odd index get a different value.
    pub inconsistent_key: Option<String>,
    /// Number of calls by the second in which they began.
    pub calls: BTreeMap<u64, u64>,
}

impl FakeService {
    /// Publishes a value of a key, or its deletion.
    pub fn publish(&mut self, key: &str, value: Option<Vec<u8>>) {
        let revision = RevisionNumber::new(self.history.len() as u64 + 1);
        let key = key.to_owned();
        self.history.push(FeedEntry {
            key,
            revision,
            value,
        });
    }

    /// The newest revision that is visible to readers.
    pub fn visible(&self) -> usize {
        self.stale_at.unwrap_or(usize::MAX).min(self.history.len())
    }

    /// Number of changes published.
    pub fn len(&self) -> usize {
        self.history.len()
    }

    /// The page that a reader gets for a read after a revision.
    pub fn page(&self, after: RevisionNumber, reader: usize) -> FeedPage {
        let visible = self.visible();
        let start = usize::try_from(after.get()).expect("the revision fits");
        let snapshot = start < self.compacted_until.min(visible);
        let skipped = if snapshot { 0 } else { start.min(visible) };
        let mut latest = BTreeMap::new();
        for entry in &self.history[skipped..visible] {
            latest.insert(entry.key.clone(), entry.clone());
        }
        let mut entries: Vec<FeedEntry> = latest.into_values().collect();
        entries.retain(|entry| !snapshot || entry.value.is_some());
        let odd = reader % 2 == 1;
        for entry in entries.iter_mut().filter(|_| odd) {
            if self.inconsistent_key.as_ref() == Some(&entry.key) {
                entry.value.get_or_insert_default().push(b'!');
            }
        }
        entries.sort_by_key(|entry| entry.revision);
        FeedPage {
            revision: RevisionNumber::new(visible as u64),
            snapshot,
            more: false,
            entries,
        }
    }

    /// Maximum number of calls in a second, starting from a second.
    pub fn peak(&self, from_second: u64) -> u64 {
        let seconds = self.calls.range(from_second..);
        seconds.map(|(_, calls)| *calls).max().unwrap_or(0)
    }

    /// Number of calls in a range of seconds, the end excluded.
    pub fn total(&self, from_second: u64, to_second: u64) -> u64 {
        self.calls
            .range(from_second..to_second)
            .map(|(_, calls)| *calls)
            .sum()
    }
}
