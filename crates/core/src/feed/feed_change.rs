use std::sync::Arc;

/// The result of applying changes to a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedChange {
    /// Keys that were added, replaced or deleted.
    pub keys: Vec<Arc<str>>,
    /// Whether the replica is complete up to a later revision than before.
    pub advanced: bool,
    /// Whether the replica still differs from the sender's, for example because
    /// the changes lack deletions, and must be compared with it bucket by bucket.
    pub needs_repair: bool,
}

impl FeedChange {
    /// Whether neither the keys nor the revision of the replica changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty() && !self.advanced
    }
}
