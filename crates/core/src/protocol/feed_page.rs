use serde::{Deserialize, Serialize};

use super::FeedEntry;
use crate::ids::RevisionNumber;

/// One page of the changes of a feed since a revision, ordered by revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPage {
    /// Revision up to which this page contains all changes.
    pub revision: RevisionNumber,
    /// Whether the page holds all present keys, because the service no longer has
    /// the requested changes.
    pub snapshot: bool,
    /// Whether more pages are available immediately.
    pub more: bool,
    /// The changes.
    pub entries: Vec<FeedEntry>,
}
