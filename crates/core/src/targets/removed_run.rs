use std::sync::Arc;

use super::TargetRecord;
use crate::ids::{RevisionNumber, StoreRevision};

/// A run of a target whose record was removed or replaced by that of another run.
/// Each start of a target's process begins a new run.
#[derive(Clone, Debug)]
pub(super) struct RemovedRun {
    /// The last record of the run.
    pub(super) record: Arc<TargetRecord>,
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
        self.record.id == record.id
            && self.record.started_at == record.started_at
            && self.removed_at.era < record.revision.era
            && number <= self.removed_at.number
            && number <= era_start
    }

    /// Whether the store carried out a write of this run only after the removal,
    /// although the target had sent it before the last known one. A live target that
    /// registers again uses a higher number.
    pub(super) fn is_written_late(&self, record: &TargetRecord) -> bool {
        record.revision > self.removed_at && record.is_overtaken_by(&self.record)
    }
}
