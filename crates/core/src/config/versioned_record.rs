use std::sync::Arc;

use crate::ids::RevisionNumber;

/// A record in force with the revision that brought it.
#[derive(Debug)]
pub struct VersionedRecord<T> {
    /// The record.
    pub record: Arc<T>,
    /// Revision at which its key last changed.
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
