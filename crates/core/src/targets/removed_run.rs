use super::TargetRecord;
use crate::ids::{RevisionNumber, StoreRevision, TargetId};

/// A run of a target whose record was removed. Each start of a target's process
/// begins a new run.
#[derive(Clone, Debug)]
pub(super) struct RemovedRun {
    pub(super) id: TargetId,
    pub(super) started_at: Option<u64>,
    /// Store revision as of which the record was known to be removed.
    pub(super) removed_at: StoreRevision,
}

impl RemovedRun {
    /// Whether a record of a later era is only an old record of this run that
    /// came back with the backup from which the store was restored. `era_start`
    /// is the revision at which that era was first seen: what a target writes
    /// afterwards has a higher one.
    pub(super) fn is_restored_in(&self, record: &TargetRecord, era_start: RevisionNumber) -> bool {
        let number = record.revision.number;
        self.id == record.id
            && self.started_at == record.started_at
            && self.removed_at.era < record.revision.era
            && number <= self.removed_at.number
            && number <= era_start
    }
}
