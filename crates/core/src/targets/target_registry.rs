use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    mem,
    sync::Arc,
};

use super::{RegistryChange, TargetRecord, TargetState, removed_run::RemovedRun};
use crate::ids::{PoolName, RevisionNumber, StoreRevision, TargetId};

/// Number of removals that are kept for processes that get their changes from this
/// one.
const REMOVAL_HISTORY_LIMIT: usize = 256;

/// A record and whether it is still in the registry.
#[derive(Clone, Debug)]
struct RegisteredTarget {
    record: Arc<TargetRecord>,
    /// Whether the record is missing from the registry but may be written again.
    is_missing: bool,
}

/// All registered targets, as far as this process knows.
///
/// Designed for this load pattern: the registry is unavailable for seconds,
/// records of live targets expire meanwhile, and callers must still be served.
/// Until the connection to the store has settled after an outage, a removed
/// record only counts as missing, and its target stays in use. At any other time
/// a removal takes effect at once.
///
/// The store may carry out a write seconds after the target sent it, when newer
/// ones are already in force. Writes of one run are ordered by their numbers: an
/// older one changes neither the record that is known nor brings back a run that
/// has ended.
///
/// A store that was restored from a backup lists an earlier state: targets that
/// have left since the backup, or that are leaving, as ready. Records of its new
/// era replace the known ones, with three exceptions: a draining run does not
/// become ready again, an older run does not replace a newer one, and a restored
/// record does not bring back a run that was removed. Live targets write their
/// records again.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    targets: BTreeMap<TargetId, RegisteredTarget>,
    revision: StoreRevision,
    /// Revision at which the current era was first seen.
    era_start: RevisionNumber,
    /// Runs whose records were removed or replaced, oldest first.
    removed_runs: VecDeque<RemovedRun>,
    /// Late writes that were ignored, since they were last taken.
    late_writes: Vec<TargetId>,
    /// Removals, oldest first.
    removals: VecDeque<(StoreRevision, TargetId)>,
    /// Revision since which `removals` is complete.
    complete_since: StoreRevision,
}

impl TargetRegistry {
    /// Revision up to which all changes are known.
    #[must_use]
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Applies changes up to `revision`. While the connection to the store is not
    /// settled, removed records of ready targets only count as missing. Changes
    /// up to a revision before the one that is known are ignored: they may contain
    /// records of targets that were removed since. Returns whether anything but
    /// revisions and coldness has changed.
    pub fn apply(
        &mut self,
        changes: Vec<RegistryChange>,
        revision: StoreRevision,
        is_settled: bool,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let mut is_changed = false;
        for change in changes {
            is_changed |= match change {
                RegistryChange::Put(record) => self.put(record),
                RegistryChange::Removed { id, revision } => self.remove(&id, revision, is_settled),
            };
        }
        self.revision = revision;
        is_changed
    }

    /// Replaces all records by a listing as of `revision`, with removals as in
    /// [`Self::apply`]. A listing older than the known records is ignored. Returns
    /// whether anything but revisions and coldness has changed.
    pub fn replace(
        &mut self,
        records: Vec<TargetRecord>,
        revision: StoreRevision,
        is_settled: bool,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        if revision.era > self.revision.era {
            self.era_start = revision.number;
        }
        let mut is_changed = false;
        let listed: BTreeSet<TargetId> = records.iter().map(|record| record.id.clone()).collect();
        for record in records {
            is_changed |= self.put(record);
        }
        let missing: Vec<TargetId> = self
            .targets
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            is_changed |= self.remove(&id, revision, is_settled);
        }
        // The revisions of removals between the two listings are unknown.
        self.revision = revision;
        is_changed
    }

    /// Drops missing records, for use once the connection to the store has settled.
    /// Returns their targets.
    pub fn expire(&mut self) -> Vec<TargetId> {
        let expired: Vec<TargetId> = self.missing().cloned().collect();
        for id in &expired {
            self.drop_target(id, self.revision);
        }
        expired
    }

    /// Takes the targets of which late writes were ignored since the last call.
    pub fn take_late_writes(&mut self) -> Vec<TargetId> {
        mem::take(&mut self.late_writes)
    }

    /// All known records, including those of draining targets and missing ones.
    pub fn records(&self) -> impl Iterator<Item = &Arc<TargetRecord>> {
        self.targets.values().map(|target| &target.record)
    }

    /// Targets whose records are missing but may be written again.
    pub fn missing(&self) -> impl Iterator<Item = &TargetId> {
        let targets = self.targets.iter();
        targets
            .filter(|(_, target)| target.is_missing)
            .map(|(id, _)| id)
    }

    /// Records that are not missing, in the form in which another process can
    /// replace its own by them.
    pub fn listing(&self) -> impl Iterator<Item = &TargetRecord> {
        let targets = self.targets.values();
        targets
            .filter(|target| !target.is_missing)
            .map(|target| &*target.record)
    }

    /// Changes since a revision, or `None` if they are no longer known in full.
    #[must_use]
    pub fn changes_since(&self, revision: StoreRevision) -> Option<Vec<RegistryChange>> {
        let is_known = revision.era == self.revision.era && revision >= self.complete_since;
        if !is_known || revision == StoreRevision::ZERO {
            return None;
        }
        let removals = self.removals.iter().filter(|(at, _)| *at >= revision);
        let removals = removals.map(|(at, id)| RegistryChange::Removed {
            id: id.clone(),
            revision: *at,
        });
        let missing = self.missing().map(|id| RegistryChange::Removed {
            id: id.clone(),
            revision: self.revision,
        });
        let records = self.listing().filter(|record| record.revision > revision);
        let puts = records.cloned().map(RegistryChange::Put);
        Some(removals.chain(missing).chain(puts).collect())
    }

    /// Targets of a service that accept work.
    pub fn ready<'a>(
        &'a self,
        service: &'a PoolName,
    ) -> impl Iterator<Item = &'a Arc<TargetRecord>> {
        self.records()
            .filter(move |record| record.service == *service && record.state == TargetState::Ready)
    }

    /// Whether the run that a record describes is known under the same address and
    /// accepts work.
    #[must_use]
    pub fn is_ready(&self, record: &TargetRecord) -> bool {
        self.targets.get(&record.id).is_some_and(|target| {
            let same_run = target.record.started_at == record.started_at
                && target.record.address == record.address
                && target.record.service == record.service;
            same_run && target.record.state == TargetState::Ready
        })
    }

    /// The record of a target.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&Arc<TargetRecord>> {
        self.targets.get(id).map(|target| &target.record)
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    fn put(&mut self, mut record: TargetRecord) -> bool {
        let mut removed_runs = self.removed_runs.iter();
        let is_late = removed_runs.any(|run| run.is_written_late(&record));
        let Some(target) = self.targets.get_mut(&record.id) else {
            let mut removed_runs = self.removed_runs.iter();
            if is_late {
                self.late_writes.push(record.id);
                return false;
            }
            if removed_runs.any(|run| run.is_restored_in(&record, self.era_start)) {
                return false;
            }
            let target = RegisteredTarget {
                record: Arc::new(record),
                is_missing: false,
            };
            self.targets.insert(target.record.id.clone(), target);
            return true;
        };
        if record.revision < target.record.revision {
            return false;
        }
        if record.revision == target.record.revision {
            target.is_missing = false;
            return false;
        }
        if is_late || record.is_overtaken_by(&target.record) {
            self.late_writes.push(record.id);
            target.is_missing = false;
            // The revision is that of the late write, which the store now holds.
            Arc::make_mut(&mut target.record).revision = record.revision;
            return false;
        }
        let is_same_run = record.started_at == target.record.started_at;
        if record.revision.era > target.record.revision.era {
            if record.started_at < target.record.started_at {
                return false;
            }
            if is_same_run && target.record.state == TargetState::Draining {
                record.state = TargetState::Draining;
            }
        }
        target.is_missing = false;
        let is_same = TargetRecord {
            revision: target.record.revision,
            cold_left: target.record.cold_left,
            write_number: target.record.write_number,
            ..record.clone()
        } == *target.record;
        let revision = record.revision;
        let replaced = mem::replace(&mut target.record, Arc::new(record));
        if replaced.started_at.is_some() && !replaced.is_same_run(&target.record) {
            self.remember_run(replaced, revision);
        }
        !is_same
    }

    fn remove(&mut self, id: &TargetId, revision: StoreRevision, is_settled: bool) -> bool {
        let Some(target) = self.targets.get_mut(id) else {
            return false;
        };
        if target.record.revision > revision {
            return false;
        }
        // A draining target does not write its record again.
        if !is_settled && target.record.state == TargetState::Ready {
            target.is_missing = true;
            return false;
        }
        self.drop_target(id, revision);
        true
    }

    fn drop_target(&mut self, id: &TargetId, revision: StoreRevision) {
        if let Some(target) = self.targets.remove(id) {
            self.remember_run(target.record, revision);
        }
        self.record_removal(id.clone(), revision);
    }

    fn remember_run(&mut self, record: Arc<TargetRecord>, removed_at: StoreRevision) {
        self.removed_runs
            .push_back(RemovedRun { record, removed_at });
        if self.removed_runs.len() > REMOVAL_HISTORY_LIMIT {
            self.removed_runs.pop_front();
        }
    }

    fn record_removal(&mut self, id: TargetId, revision: StoreRevision) {
        self.removals.push_back((revision, id));
        if self.removals.len() > REMOVAL_HISTORY_LIMIT
            && let Some((dropped, _)) = self.removals.pop_front()
        {
            self.complete_since = dropped;
        }
    }
}
