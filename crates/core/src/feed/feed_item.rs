use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{ids::RevisionNumber, protocol::FeedEntry};

/// The state of one key of a feed, as nodes store and exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedItem {
    /// The key. Its parts are separated by `/`.
    pub key: Arc<str>,
    /// Revision at which the key last changed.
    pub revision: RevisionNumber,
    /// The value, or `None` if the item is the tombstone of a deleted key.
    pub value: Option<Bytes>,
}

impl FeedItem {
    /// Returns the order of this version among the versions of the same key. The
    /// largest one wins a merge. At equal revisions the hash of the value decides,
    /// so that all nodes choose the same version.
    #[must_use]
    pub fn rank(&self) -> (RevisionNumber, u64) {
        (self.revision, self.value_hash())
    }

    /// Returns a digest over key, revision and value, or zero for a tombstone.
    #[must_use]
    pub fn digest(&self) -> u64 {
        if self.value.is_none() {
            return 0;
        }
        let mut hasher = Xxh3::new();
        hasher.update(&self.revision.get().to_le_bytes());
        hasher.update(&self.value_hash().to_le_bytes());
        hasher.update(self.key.as_bytes());
        hasher.digest()
    }

    /// Returns the size of the key and the value, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }

    fn value_hash(&self) -> u64 {
        self.value.as_deref().map_or(0, xxh3_64)
    }
}

impl From<&FeedEntry> for FeedItem {
    fn from(entry: &FeedEntry) -> Self {
        Self {
            key: entry.key.as_str().into(),
            revision: entry.revision,
            value: entry.value.clone().map(Bytes::from),
        }
    }
}
