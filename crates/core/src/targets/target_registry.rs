use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use super::{RegistryChange, TargetRecord, TargetState, removed_run::RemovedRun};
use crate::ids::{PoolName, RevisionNumber, StoreRevision, TargetId};

/// Removals that are kept for processes that follow this one.
const REMOVALS: usize = 256;

/// One held record.
#[derive(Clone, Debug)]
struct HeldTarget {
    record: Arc<TargetRecord>,
    /// Whether the record is missing and may still come back.
    is_missing: bool,
}

/// All registered targets, as far as this process knows.
///
/// Answers to this load pattern: the registry is away for seconds, records of
/// live targets lapse meanwhile, and callers must be served all the same.
/// Removals that reach the process before its contact has settled count only if
/// the record stays missing. At any other time a removal is in force at once.
///
/// A store that has come back from a copy lists what was true some seconds
/// before: targets that have left since then, or that leave, as ready. Records
/// of its new era replace those held, but for what can't be: a run that leaves
/// doesn't stay, an older run doesn't follow a newer one, and the copied record
/// of a run that is gone doesn't bring it back. Targets that live write again.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    targets: BTreeMap<TargetId, HeldTarget>,
    revision: StoreRevision,
    /// Revision at which the present era was first seen.
    era_start: RevisionNumber,
    /// Runs whose records were removed, the oldest first.
    departed: VecDeque<RemovedRun>,
    /// Removals, the oldest first.
    removals: VecDeque<(StoreRevision, TargetId)>,
    /// Revision from which on all removals are kept.
    removals_from: StoreRevision,
}

impl TargetRegistry {
    /// Revision up to which all changes are known.
    #[must_use]
    pub const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Takes in changes up to `revision`. Returns whether anything but
    /// revisions has changed.
    pub fn apply(
        &mut self,
        changes: Vec<RegistryChange>,
        revision: StoreRevision,
        is_settled: bool,
    ) -> bool {
        if revision.era < self.revision.era {
            return false;
        }
        let mut is_changed = false;
        for change in changes {
            is_changed |= match change {
                RegistryChange::Put(record) => self.put(record),
                RegistryChange::Removed { id, revision } => self.remove(&id, revision, is_settled),
            };
        }
        self.revision = self.revision.max(revision);
        is_changed
    }

    /// Replaces all records by a listing as of `revision`. A listing older
    /// than what is held is ignored.
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
        // Removals between the two listings are only known as a whole.
        self.revision = revision;
        is_changed
    }

    /// Drops missing records, once the contact has settled. Returns their
    /// targets.
    pub fn expire(&mut self) -> Vec<TargetId> {
        let over: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, held)| held.is_missing)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &over {
            self.drop_target(id, self.revision);
        }
        over
    }

    /// All records that are held, also of targets that leave.
    pub fn records(&self) -> impl Iterator<Item = &Arc<TargetRecord>> {
        self.targets.values().map(|held| &held.record)
    }

    /// Records that are not missing, as another process may take them over.
    pub fn listing(&self) -> impl Iterator<Item = &TargetRecord> {
        let held = self.targets.values();
        held.filter(|held| !held.is_missing)
            .map(|held| &*held.record)
    }

    /// What has changed since a revision, if that is still known.
    #[must_use]
    pub fn changes_since(&self, revision: StoreRevision) -> Option<Vec<RegistryChange>> {
        let is_known = revision.era == self.revision.era && revision >= self.removals_from;
        if !is_known || revision == StoreRevision::ZERO {
            return None;
        }
        let removals = self.removals.iter().filter(|(at, _)| *at >= revision);
        let removals = removals.map(|(at, id)| RegistryChange::Removed {
            id: id.clone(),
            revision: *at,
        });
        let missing = self.targets.iter().filter(|(_, held)| held.is_missing);
        let missing = missing.map(|(id, _)| RegistryChange::Removed {
            id: id.clone(),
            revision: self.revision,
        });
        let records = self.listing().filter(|record| record.revision > revision);
        let puts = records.cloned().map(RegistryChange::Put);
        Some(removals.chain(missing).chain(puts).collect())
    }

    /// Targets of a service that take work.
    pub fn ready<'a>(
        &'a self,
        service: &'a PoolName,
    ) -> impl Iterator<Item = &'a Arc<TargetRecord>> {
        self.records()
            .filter(move |record| record.service == *service && record.state == TargetState::Ready)
    }

    /// Whether a target may get work now.
    #[must_use]
    pub fn is_ready(&self, record: &TargetRecord) -> bool {
        self.targets.get(&record.id).is_some_and(|held| {
            let same_run = held.record.started_at == record.started_at
                && held.record.address == record.address
                && held.record.service == record.service;
            same_run && held.record.state == TargetState::Ready
        })
    }

    /// The record of a target.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&Arc<TargetRecord>> {
        self.targets.get(id).map(|held| &held.record)
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
        let Some(held) = self.targets.get_mut(&record.id) else {
            let mut departed = self.departed.iter();
            if departed.any(|run| run.is_copied_in(&record, self.era_start)) {
                return false;
            }
            let held = HeldTarget {
                record: Arc::new(record),
                is_missing: false,
            };
            self.targets.insert(held.record.id.clone(), held);
            return true;
        };
        if record.revision < held.record.revision {
            return false;
        }
        if record.revision == held.record.revision {
            held.is_missing = false;
            return false;
        }
        let is_same_run = record.started_at == held.record.started_at;
        if record.revision.era > held.record.revision.era {
            if record.started_at < held.record.started_at {
                return false;
            }
            if is_same_run && held.record.state == TargetState::Draining {
                record.state = TargetState::Draining;
            }
        }
        held.is_missing = false;
        let is_same = TargetRecord {
            revision: held.record.revision,
            ..record.clone()
        } == *held.record;
        held.record = Arc::new(record);
        !is_same
    }

    fn remove(&mut self, id: &TargetId, revision: StoreRevision, is_settled: bool) -> bool {
        let Some(held) = self.targets.get_mut(id) else {
            return false;
        };
        if held.record.revision > revision {
            return false;
        }
        // A target that announced its end doesn't come back.
        if !is_settled && held.record.state == TargetState::Ready {
            held.is_missing = true;
            return false;
        }
        self.drop_target(id, revision);
        true
    }

    fn drop_target(&mut self, id: &TargetId, revision: StoreRevision) {
        if let Some(held) = self.targets.remove(id) {
            self.departed.push_back(RemovedRun {
                id: id.clone(),
                started_at: held.record.started_at,
                gone_at: revision,
            });
            if self.departed.len() > REMOVALS {
                self.departed.pop_front();
            }
        }
        self.note_removal(id.clone(), revision);
    }

    fn note_removal(&mut self, id: TargetId, revision: StoreRevision) {
        self.removals.push_back((revision, id));
        if self.removals.len() > REMOVALS
            && let Some((forgotten, _)) = self.removals.pop_front()
        {
            self.removals_from = forgotten;
        }
    }
}
