use serde::{Deserialize, Serialize};

use super::{FeedItem, FeedVersion};
use crate::ids::RevisionNumber;

/// Changes that one node sends to another, ordered by revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedDelta {
    /// Revision after which the changes start.
    pub after: RevisionNumber,
    /// Version of the sender's replica.
    pub version: FeedVersion,
    /// Revision up to which the sender has discarded its tombstones, so that
    /// deletions up to it may be missing.
    pub floor: RevisionNumber,
    /// Whether more changes follow. They are requested after the revision of the
    /// last item.
    pub more: bool,
    /// Changed items, with a tombstone for each deletion.
    pub items: Vec<FeedItem>,
}

impl FeedDelta {
    /// Returns the revision after which to request the next part.
    #[must_use]
    pub fn cursor(&self) -> RevisionNumber {
        if !self.more {
            return self.version.revision;
        }
        self.items.last().map_or(self.after, |item| item.revision)
    }

    /// Returns the size of the keys and values, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.items.iter().map(FeedItem::size).sum()
    }
}
