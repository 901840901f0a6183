use std::sync::Arc;

use super::{ShardedMap, SharedRecord, VersionedRecord, held_record::RecordInForce};
use crate::{
    findings::{Finding, FindingList},
    ids::{ModelName, PipelineName, RevisionNumber, WorkspaceId},
    records::{ModelRecord, PipelineRecord, RecordId, WorkspaceRecord},
};

/// The records in force at one moment. A request keeps the snapshot with which
/// it began.
#[derive(Clone, Debug)]
pub struct ConfigSnapshot {
    pipelines: ShardedMap<PipelineName, VersionedRecord<PipelineRecord>>,
    workspaces: ShardedMap<WorkspaceId, VersionedRecord<WorkspaceRecord>>,
    models: ShardedMap<ModelName, VersionedRecord<ModelRecord>>,
    findings: ShardedMap<String, Arc<FindingList>>,
}

impl ConfigSnapshot {
    /// Creates a snapshot without records.
    pub(super) fn new() -> Self {
        Self {
            pipelines: ShardedMap::new(),
            workspaces: ShardedMap::new(),
            models: ShardedMap::new(),
            findings: ShardedMap::new(),
        }
    }

    /// The pipeline of a name, unless it is retired.
    #[must_use]
    pub fn pipeline(&self, name: &PipelineName) -> Option<&Arc<PipelineRecord>> {
        let held = self.pipelines.get(name)?;
        (!held.record.retired).then_some(&held.record)
    }

    /// The workspace of an id, unless it is retired.
    #[must_use]
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&Arc<WorkspaceRecord>> {
        let held = self.workspaces.get(id)?;
        (!held.record.retired).then_some(&held.record)
    }

    /// The model of a name, unless it is retired.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&Arc<ModelRecord>> {
        let held = self.models.get(name)?;
        (!held.record.retired).then_some(&held.record)
    }

    /// All pipelines that are not retired, ordered by name.
    #[must_use]
    pub fn pipelines(&self) -> Vec<VersionedRecord<PipelineRecord>> {
        let mut pipelines: Vec<_> = self.pipelines.iter().map(|(_, held)| held).collect();
        pipelines.retain(|held| !held.record.retired);
        pipelines.sort_by(|left, right| left.record.name.cmp(&right.record.name));
        pipelines.into_iter().cloned().collect()
    }

    /// All models that are not retired, ordered by name.
    #[must_use]
    pub fn models(&self) -> Vec<VersionedRecord<ModelRecord>> {
        let mut models: Vec<_> = self.models.iter().map(|(_, held)| held).collect();
        models.retain(|held| !held.record.retired);
        models.sort_by(|left, right| left.record.name.cmp(&right.record.name));
        models.into_iter().cloned().collect()
    }

    /// All workspaces that are not retired, in no particular order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceRecord>> {
        self.workspaces
            .iter()
            .map(|(_, held)| &held.record)
            .filter(|record| !record.retired)
    }

    /// Number of workspaces in force, retired ones included.
    #[must_use]
    pub fn workspace_count(&self) -> usize {
        self.workspaces.len()
    }

    /// Revision at which the generation in force of a record was published;
    /// also of a retired one.
    #[must_use]
    pub fn revision_of(&self, id: &RecordId) -> Option<RevisionNumber> {
        match id {
            RecordId::Pipeline(name) => self.pipelines.get(name).map(|held| held.revision),
            RecordId::Workspace(id) => self.workspaces.get(id).map(|held| held.revision),
            RecordId::Model(name) => self.models.get(name).map(|held| held.revision),
        }
    }

    /// The findings on all entries, ordered by key.
    #[must_use]
    pub fn findings(&self) -> FindingList {
        let mut entries: Vec<_> = self.findings.iter().collect();
        entries.sort_by_key(|(key, _)| *key);
        let lists = entries.into_iter().map(|(_, list)| list);
        let findings: Vec<Finding> = lists.flat_map(|list| list.iter().cloned()).collect();
        findings.into()
    }

    /// Sets what is in force of one record.
    pub(super) fn set_record(&mut self, id: &RecordId, found: Option<&RecordInForce<'_>>) {
        match id {
            RecordId::Pipeline(name) => self.pipelines.set(name, found.and_then(as_pipeline)),
            RecordId::Workspace(id) => self.workspaces.set(id, found.and_then(as_workspace)),
            RecordId::Model(name) => self.models.set(name, found.and_then(as_model)),
        }
    }

    /// Sets the findings on the entry of one key.
    pub(super) fn set_findings(&mut self, key: &str, list: Option<FindingList>) {
        self.findings.set(&key.to_owned(), list.map(Arc::new));
    }
}

fn as_pipeline(found: &RecordInForce<'_>) -> Option<VersionedRecord<PipelineRecord>> {
    let SharedRecord::Pipeline(record) = found.record else {
        return None;
    };
    Some(VersionedRecord {
        record: Arc::clone(record),
        revision: found.revision,
    })
}

fn as_workspace(found: &RecordInForce<'_>) -> Option<VersionedRecord<WorkspaceRecord>> {
    let SharedRecord::Workspace(record) = found.record else {
        return None;
    };
    Some(VersionedRecord {
        record: Arc::clone(record),
        revision: found.revision,
    })
}

fn as_model(found: &RecordInForce<'_>) -> Option<VersionedRecord<ModelRecord>> {
    let SharedRecord::Model(record) = found.record else {
        return None;
    };
    Some(VersionedRecord {
        record: Arc::clone(record),
        revision: found.revision,
    })
}
