use std::{collections::BTreeMap, sync::Arc};

use super::{ConfigSnapshot, held_entry::EntryOrder, held_record::HeldRecord};
use crate::{
    findings::{Finding, FindingPlace},
    protocol::FeedEntry,
    records::{KeyError, RecordId, RecordKey},
};

/// All entries held of the configuration, and the records in force.
///
/// The records in force are a pure function of the entries, whatever the order
/// in which they came and whichever older ones were missed: the latest entry
/// of each key decides, also of a key that was deleted and published again.
#[derive(Debug)]
pub struct ConfigState {
    records: BTreeMap<RecordId, HeldRecord>,
    strays: BTreeMap<String, EntryOrder>,
    current: Arc<ConfigSnapshot>,
}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The entry is held now.
    Applied,
    /// A higher generation is deleted, or the same or a later entry of the key
    /// was held already.
    Ignored,
}

impl ConfigState {
    /// Creates a state without entries.
    #[must_use]
    pub fn new() -> Self {
        Self {
            records: BTreeMap::new(),
            strays: BTreeMap::new(),
            current: Arc::new(ConfigSnapshot::new()),
        }
    }

    /// Takes an entry, in any order, and evaluates the record that it touches.
    pub fn apply(&mut self, entry: &FeedEntry) -> ApplyOutcome {
        match entry.key.parse() {
            Ok(key) => self.apply_record(&key, entry),
            Err(error) => self.apply_stray(&error, entry),
        }
    }

    /// The records in force. A clone of a pointer.
    #[must_use]
    pub fn snapshot(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.current)
    }

    fn apply_record(&mut self, key: &RecordKey, entry: &FeedEntry) -> ApplyOutcome {
        let held = self.records.entry(key.id.clone()).or_default();
        if !held.apply(key, entry) {
            return ApplyOutcome::Ignored;
        }
        let snapshot = Arc::make_mut(&mut self.current);
        if entry.value.is_none() {
            snapshot.set_findings(&entry.key, None);
        }
        for (key, findings) in held.findings(&key.id) {
            snapshot.set_findings(&key.to_string(), findings);
        }
        snapshot.set_record(&key.id, held.in_force().as_ref());
        if held.is_buried(key.generation) {
            return ApplyOutcome::Ignored;
        }
        ApplyOutcome::Applied
    }

    /// Keeps a finding on a key that is not the key of a record.
    fn apply_stray(&mut self, error: &KeyError, entry: &FeedEntry) -> ApplyOutcome {
        let order = EntryOrder::of(entry);
        let held = self.strays.get(&entry.key);
        if held.is_some_and(|held| *held >= order) {
            return ApplyOutcome::Ignored;
        }
        self.strays.insert(entry.key.clone(), order);
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
