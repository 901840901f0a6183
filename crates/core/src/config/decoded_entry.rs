use xxhash_rust::xxh3::xxh3_64;

use super::SharedRecord;
use crate::{
    findings::{Finding, FindingList, FindingPlace},
    ids::RevisionNumber,
    protocol::FeedEntry,
    records::{Record, RecordKey, ValueDigest},
};

/// Orders the entries of one key: by revision, and by value if a feed gives
/// two values at one revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EntryOrder {
    revision: RevisionNumber,
    hash: Option<u64>,
}

impl EntryOrder {
    /// The order of an entry.
    pub(super) fn of(entry: &FeedEntry) -> Self {
        Self {
            revision: entry.revision,
            hash: entry.value.as_deref().map(xxh3_64),
        }
    }

    /// Revision of the entry.
    pub(super) const fn revision(self) -> RevisionNumber {
        self.revision
    }
}

/// What is held of one key: the outcome of its latest revision.
#[derive(Debug)]
pub(super) struct HeldEntry {
    /// Tells which of two entries of the key is later.
    order: EntryOrder,
    /// What the entry says.
    pub(super) content: EntryContent,
}

/// What an entry says.
#[derive(Debug)]
pub(super) enum EntryContent {
    /// A record that fits its key.
    Valid(SharedRecord),
    /// A value that is not such a record.
    Invalid(FindingList),
    /// The key was deleted.
    Deleted,
}

impl HeldEntry {
    /// Decodes an entry.
    pub(super) fn read(key: &RecordKey, entry: &FeedEntry) -> Self {
        let content = match &entry.value {
            None => EntryContent::Deleted,
            Some(value) => match decode(key, &entry.key, value) {
                Ok(record) => EntryContent::Valid(record.into()),
                Err(findings) => EntryContent::Invalid(findings),
            },
        };
        Self {
            order: EntryOrder::of(entry),
            content,
        }
    }

    /// Tells which of two entries of the key is later.
    pub(super) const fn order(&self) -> EntryOrder {
        self.order
    }
}

fn decode(key: &RecordKey, source: &str, value: &[u8]) -> Result<Record, FindingList> {
    let found = ValueDigest::of(value);
    if found != key.digest {
        let message = format!("the value has digest {found}, the key says {}", key.digest);
        return Err(fault(source, "", message));
    }
    let record = Record::decode(source, value)?;
    if record.id() != key.id {
        let message = format!("the record is `{}`, the key says `{}`", record.id(), key.id);
        return Err(fault(source, "name", message));
    }
    if record.generation() != key.generation {
        let (written, expected) = (record.generation(), key.generation);
        let message = format!("the record has generation {written}, the key says {expected}");
        return Err(fault(source, "generation", message));
    }
    Ok(record)
}

fn fault(source: &str, path: &str, message: String) -> FindingList {
    let place = FindingPlace {
        source: source.to_owned(),
        line: None,
        path: path.to_owned(),
    };
    Finding::invalid(place, message).into()
}
