use std::{collections::BTreeMap, sync::Arc};

use super::{ConfigSnapshot, decoded_entry::EntryOrder, record_entries::RecordEntries};
use crate::{
    findings::{Finding, FindingPlace},
    protocol::FeedEntry,
    records::{KeyError, RecordId, RecordKey},
};

/// The latest entries of the configuration feed, and the records in force.
///
/// The records in force are a pure function of the latest entry of each key, also
/// for a key that was deleted and published again. Neither the order in which
/// entries arrive nor missed older entries make a difference.
#[derive(Debug)]
pub struct ConfigState {
    records: BTreeMap<RecordId, RecordEntries>,
    /// Latest entries of keys that are not record keys.
    invalid_keys: BTreeMap<String, EntryOrder>,
    current: Arc<ConfigSnapshot>,
}

/// Result of applying an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The entry was stored.
    Applied,
    /// The entry has no effect at present: a higher generation of the record is
    /// deleted, or the same or a later entry of the key was stored already.
    Ignored,
}

impl ConfigState {
    /// Creates a state without entries.
    #[must_use]
    pub fn new() -> Self {
        Self {
            records: BTreeMap::new(),
            invalid_keys: BTreeMap::new(),
            current: Arc::new(ConfigSnapshot::new()),
        }
    }

    /// Applies an entry and determines again which generation of its record is in
    /// force. Entries may arrive in any order.
    pub fn apply(&mut self, entry: &FeedEntry) -> ApplyOutcome {
        match entry.key.parse() {
            Ok(key) => self.apply_record(&key, entry),
            Err(error) => self.apply_invalid_key(&error, entry),
        }
    }

    /// Returns the records in force. Cheap: clones a pointer.
    #[must_use]
    pub fn snapshot(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.current)
    }

    fn apply_record(&mut self, key: &RecordKey, entry: &FeedEntry) -> ApplyOutcome {
        let entries = self.records.entry(key.id.clone()).or_default();
        if !entries.apply(key, entry) {
            return ApplyOutcome::Ignored;
        }
        let snapshot = Arc::make_mut(&mut self.current);
        if entry.value.is_none() {
            snapshot.set_findings(&entry.key, None);
        }
        for (key, findings) in entries.findings(&key.id) {
            snapshot.set_findings(&key.to_string(), findings);
        }
        snapshot.set_record(&key.id, entries.in_force().as_ref());
        if entries.is_masked(key.generation) {
            return ApplyOutcome::Ignored;
        }
        ApplyOutcome::Applied
    }

    /// Reports a finding on a key that is not a valid record key.
    fn apply_invalid_key(&mut self, error: &KeyError, entry: &FeedEntry) -> ApplyOutcome {
        let order = EntryOrder::of(entry);
        let stored = self.invalid_keys.get(&entry.key);
        if stored.is_some_and(|stored| *stored >= order) {
            return ApplyOutcome::Ignored;
        }
        self.invalid_keys.insert(entry.key.clone(), order);
        let place = FindingPlace::whole(&entry.key);
        let finding = Finding::invalid(place, error.to_string());
        let findings = entry.value.is_some().then(|| finding.into());
        Arc::make_mut(&mut self.current).set_findings(&entry.key, findings);
        ApplyOutcome::Applied
    }
}

impl Default for ConfigState {
    fn default() -> Self {
        Self::new()
    }
}
