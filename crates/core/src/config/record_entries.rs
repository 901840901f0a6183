use std::collections::BTreeMap;

use super::{
    SharedRecord,
    held_entry::{EntryContent, EntryOrder, HeldEntry},
};
use crate::{
    findings::FindingList,
    ids::{GenerationNumber, RevisionNumber},
    protocol::FeedEntry,
    records::{RecordId, RecordKey, ValueDigest},
};

/// A key among the keys of one record.
type OwnKey = (GenerationNumber, ValueDigest);

/// The entry that counts of all entries of one record.
pub(super) struct RecordInForce<'a> {
    /// The record.
    pub(super) record: &'a SharedRecord,
    /// Revision at which its key last changed.
    pub(super) revision: RevisionNumber,
}

/// All entries held of one record.
///
/// A deleted generation buries all lower ones for as long as its key stays
/// deleted. What is buried is kept, so that a key which is published again
/// leaves every node with the same entries, whether or not it has seen the
/// deletion. Of a deleted key only its order is kept.
#[derive(Debug, Default)]
pub(super) struct HeldRecord {
    live: BTreeMap<OwnKey, HeldEntry>,
    deleted: BTreeMap<OwnKey, EntryOrder>,
}

impl HeldRecord {
    /// Takes an entry, unless the same or a later entry of its key is held
    /// already. Returns whether it was taken.
    pub(super) fn apply(&mut self, key: &RecordKey, entry: &FeedEntry) -> bool {
        let own_key = (key.generation, key.digest);
        let order = EntryOrder::of(entry);
        let held = self.live.get(&own_key).map(HeldEntry::order);
        let held = held.or_else(|| self.deleted.get(&own_key).copied());
        if held.is_some_and(|held| held >= order) {
            return false;
        }
        let held = HeldEntry::read(key, entry);
        if matches!(held.content, EntryContent::Deleted) {
            self.live.remove(&own_key);
            self.deleted.insert(own_key, order);
        } else {
            self.deleted.remove(&own_key);
            self.live.insert(own_key, held);
        }
        true
    }

    /// Whether a generation is buried by a higher one that was deleted.
    pub(super) fn is_buried(&self, generation: GenerationNumber) -> bool {
        generation < self.floor()
    }

    /// Findings on all keys of the record `id` that are not deleted. What is
    /// buried has none.
    pub(super) fn findings(&self, id: &RecordId) -> Vec<(RecordKey, Option<FindingList>)> {
        let floor = self.floor();
        let entries = self.live.iter();
        entries
            .map(|((generation, digest), held)| {
                let key = RecordKey {
                    id: id.clone(),
                    generation: *generation,
                    digest: *digest,
                };
                let findings = match &held.content {
                    EntryContent::Invalid(findings) if *generation >= floor => {
                        Some(findings.clone())
                    }
                    _ => None,
                };
                (key, findings)
            })
            .collect()
    }

    /// The valid entry with the highest generation and then revision.
    pub(super) fn in_force(&self) -> Option<RecordInForce<'_>> {
        let floor = self.floor();
        let valid = self.live.iter().filter_map(|((generation, digest), held)| {
            let EntryContent::Valid(record) = &held.content else {
                return None;
            };
            let revision = held.order().revision();
            let order = (*generation, revision, *digest);
            (*generation >= floor).then_some((order, RecordInForce { record, revision }))
        });
        let newest = valid.max_by_key(|(order, _)| *order);
        newest.map(|(_, found)| found)
    }

    /// The highest deleted generation.
    fn floor(&self) -> GenerationNumber {
        let highest = self.deleted.last_key_value();
        highest.map_or(GenerationNumber::ZERO, |((generation, _), _)| *generation)
    }
}
