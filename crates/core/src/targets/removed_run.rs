use super::TargetRecord;
use crate::ids::{RevisionNumber, StoreRevision, TargetId};

/// A run of a target whose record was removed.
#[derive(Clone, Debug)]
pub(super) struct RemovedRun {
    pub(super) id: TargetId,
    pub(super) started_at: Option<u64>,
    /// When it was known to be gone.
    pub(super) gone_at: StoreRevision,
}

impl RemovedRun {
    /// Whether a record of a later era is only a copy of one of this run, from
    /// which the store came back. `era_start` is the revision at which that era
    /// was first seen: what a target writes after it has a higher one.
    pub(super) fn is_copied_in(&self, record: &TargetRecord, era_start: RevisionNumber) -> bool {
        let number = record.revision.number;
        self.id == record.id
            && self.started_at == record.started_at
            && self.gone_at.era < record.revision.era
            && number <= self.gone_at.number
            && number <= era_start
    }
}
