use xxhash_rust::xxh3::xxh3_64;

use super::SharedRecord;
use crate::{
    findings::{Finding, FindingList, FindingPlace},
    ids::RevisionNumber,
    protocol::FeedEntry,
    records::{Record, RecordKey, ValueDigest},
};

/// Order of the entries of one key: by revision, then by the hash of the value in
/// case a feed has two values at the same revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EntryOrder {
    revision: RevisionNumber,
    value_hash: Option<u64>,
}

impl EntryOrder {
    /// Returns the order of an entry.
    pub(super) fn of(entry: &FeedEntry) -> Self {
        Self {
            revision: entry.revision,
            value_hash: entry.value.as_deref().map(xxh3_64),
        }
    }

    /// Returns the revision of the entry.
    pub(super) const fn revision(self) -> RevisionNumber {
        self.revision
    }
}

/// The latest entry of one key, decoded.
#[derive(Debug)]
pub(super) struct DecodedEntry {
    order: EntryOrder,
    pub(super) content: EntryContent,
}

/// Result of decoding an entry.
#[derive(Debug)]
pub(super) enum EntryContent {
    /// A record that matches its key.
    Valid(SharedRecord),
    /// A value that is not a valid record, or does not match its key.
    Invalid(FindingList),
    /// The key was deleted.
    Deleted,
}

impl DecodedEntry {
    /// Decodes an entry and checks it against its key.
    pub(super) fn decode(key: &RecordKey, entry: &FeedEntry) -> Self {
        let content = match &entry.value {
            None => EntryContent::Deleted,
            Some(value) => match decode_record(key, &entry.key, value) {
                Ok(record) => EntryContent::Valid(record.into()),
                Err(findings) => EntryContent::Invalid(findings),
            },
        };
        Self {
            order: EntryOrder::of(entry),
            content,
        }
    }

    /// Returns the order of the entry among the entries of its key.
    pub(super) const fn order(&self) -> EntryOrder {
        self.order
    }
}

fn decode_record(key: &RecordKey, source: &str, value: &[u8]) -> Result<Record, FindingList> {
    let actual = ValueDigest::of(value);
    if actual != key.digest {
        let message = format!("the value has digest {actual}, the key says {}", key.digest);
        return Err(invalid_finding(source, "", message));
    }
    let record = Record::decode(source, value)?;
    if record.id() != key.id {
        let message = format!("the record is `{}`, the key says `{}`", record.id(), key.id);
        return Err(invalid_finding(source, "name", message));
    }
    if record.generation() != key.generation {
        let (actual, expected) = (record.generation(), key.generation);
        let message = format!("the record has generation {actual}, the key says {expected}");
        return Err(invalid_finding(source, "generation", message));
    }
    Ok(record)
}

fn invalid_finding(source: &str, path: &str, message: String) -> FindingList {
    let place = FindingPlace {
        source: source.to_owned(),
        line: None,
        path: path.to_owned(),
    };
    Finding::invalid(place, message).into()
}
