use std::sync::Arc;

use crate::ids::RevisionNumber;

/// A record in force, with the revision of its entry.
#[derive(Debug)]
pub struct VersionedRecord<T> {
    /// The record.
    pub record: Arc<T>,
    /// Revision at which the record's key last changed.
    pub revision: RevisionNumber,
}

impl<T> Clone for VersionedRecord<T> {
    fn clone(&self) -> Self {
        Self {
            record: Arc::clone(&self.record),
            revision: self.revision,
        }
    }
}
