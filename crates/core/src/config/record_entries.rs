use std::collections::BTreeMap;

use super::{
    SharedRecord,
    decoded_entry::{DecodedEntry, EntryContent, EntryOrder},
};
use crate::{
    findings::FindingList,
    ids::{GenerationNumber, RevisionNumber},
    protocol::FeedEntry,
    records::{RecordId, RecordKey, ValueDigest},
};

/// Identifies a key among the keys of one record.
type VersionKey = (GenerationNumber, ValueDigest);

/// The record that is in force among all entries of one record.
pub(super) struct RecordInForce<'a> {
    /// The record.
    pub(super) record: &'a SharedRecord,
    /// Revision at which the record's key last changed.
    pub(super) revision: RevisionNumber,
}

/// The latest entry of each key of one record.
///
/// A deleted generation masks all lower ones for as long as its key stays
/// deleted. Masked entries are kept: if the key is published again, every node
/// has the same entries, whether or not it has seen the deletion. Of a deleted
/// key only the order of its entry is kept.
#[derive(Debug, Default)]
pub(super) struct RecordEntries {
    live: BTreeMap<VersionKey, DecodedEntry>,
    deleted: BTreeMap<VersionKey, EntryOrder>,
}

impl RecordEntries {
    /// Stores an entry, unless the same or a later entry of its key is stored
    /// already. Returns whether the entry was stored.
    pub(super) fn apply(&mut self, key: &RecordKey, entry: &FeedEntry) -> bool {
        let version_key = (key.generation, key.digest);
        let order = EntryOrder::of(entry);
        let stored = self.live.get(&version_key).map(DecodedEntry::order);
        let stored = stored.or_else(|| self.deleted.get(&version_key).copied());
        if stored.is_some_and(|stored| stored >= order) {
            return false;
        }
        let decoded = DecodedEntry::decode(key, entry);
        if matches!(decoded.content, EntryContent::Deleted) {
            self.live.remove(&version_key);
            self.deleted.insert(version_key, order);
        } else {
            self.deleted.remove(&version_key);
            self.live.insert(version_key, decoded);
        }
        true
    }

    /// Whether a generation is masked by a higher one that was deleted.
    pub(super) fn is_masked(&self, generation: GenerationNumber) -> bool {
        generation < self.floor()
    }

    /// Returns all keys of the record `id` that are not deleted, with the findings
    /// on their entries. Valid and masked entries have none.
    pub(super) fn findings(&self, id: &RecordId) -> Vec<(RecordKey, Option<FindingList>)> {
        let floor = self.floor();
        let entries = self.live.iter();
        entries
            .map(|((generation, digest), entry)| {
                let key = RecordKey {
                    id: id.clone(),
                    generation: *generation,
                    digest: *digest,
                };
                let findings = match &entry.content {
                    EntryContent::Invalid(findings) if *generation >= floor => {
                        Some(findings.clone())
                    }
                    _ => None,
                };
                (key, findings)
            })
            .collect()
    }

    /// Returns the record of the valid entry with the highest generation, and among
    /// those of one generation the one with the highest revision.
    pub(super) fn in_force(&self) -> Option<RecordInForce<'_>> {
        let floor = self.floor();
        let valid = self
            .live
            .iter()
            .filter_map(|((generation, digest), entry)| {
                let EntryContent::Valid(record) = &entry.content else {
                    return None;
                };
                let revision = entry.order().revision();
                let order = (*generation, revision, *digest);
                (*generation >= floor).then_some((order, RecordInForce { record, revision }))
            });
        let newest = valid.max_by_key(|(order, _)| *order);
        newest.map(|(_, record)| record)
    }

    /// Returns the highest deleted generation.
    fn floor(&self) -> GenerationNumber {
        let highest = self.deleted.last_key_value();
        highest.map_or(GenerationNumber::ZERO, |((generation, _), _)| *generation)
    }
}
