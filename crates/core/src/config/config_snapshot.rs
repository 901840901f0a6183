use std::sync::Arc;

use super::{ShardedMap, SharedRecord, VersionedRecord, record_entries::RecordInForce};
use crate::{
    findings::{Finding, FindingList},
    ids::{ModelName, PipelineName, RevisionNumber, WorkspaceId},
    records::{ModelRecord, PipelineRecord, RecordId, WorkspaceRecord},
};

/// The records in force at one point in time. A request uses the same snapshot
/// from its start to its end.
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

    /// Returns the pipeline with a name, unless it is retired.
    #[must_use]
    pub fn pipeline(&self, name: &PipelineName) -> Option<&Arc<PipelineRecord>> {
        let versioned = self.pipelines.get(name)?;
        (!versioned.record.retired).then_some(&versioned.record)
    }

    /// Returns the workspace with an id, unless it is retired.
    #[must_use]
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&Arc<WorkspaceRecord>> {
        let versioned = self.workspaces.get(id)?;
        (!versioned.record.retired).then_some(&versioned.record)
    }

    /// Returns the model with a name, unless it is retired.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&Arc<ModelRecord>> {
        let versioned = self.models.get(name)?;
        (!versioned.record.retired).then_some(&versioned.record)
    }

    /// Returns all pipelines that are not retired, ordered by name.
    #[must_use]
    pub fn pipelines(&self) -> Vec<VersionedRecord<PipelineRecord>> {
        let mut pipelines: Vec<_> = self
            .pipelines
            .iter()
            .map(|(_, versioned)| versioned)
            .collect();
        pipelines.retain(|versioned| !versioned.record.retired);
        pipelines.sort_by(|left, right| left.record.name.cmp(&right.record.name));
        pipelines.into_iter().cloned().collect()
    }

    /// Returns all models that are not retired, ordered by name.
    #[must_use]
    pub fn models(&self) -> Vec<VersionedRecord<ModelRecord>> {
        let mut models: Vec<_> = self.models.iter().map(|(_, versioned)| versioned).collect();
        models.retain(|versioned| !versioned.record.retired);
        models.sort_by(|left, right| left.record.name.cmp(&right.record.name));
        models.into_iter().cloned().collect()
    }

    /// Returns all workspaces that are not retired, in no particular order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceRecord>> {
        self.workspaces
            .iter()
            .map(|(_, versioned)| &versioned.record)
            .filter(|record| !record.retired)
    }

    /// Returns the number of workspaces in force, retired ones included.
    #[must_use]
    pub fn workspace_count(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns the revision at which the generation in force of a record was
    /// published, also if the record is retired.
    #[must_use]
    pub fn revision_of(&self, id: &RecordId) -> Option<RevisionNumber> {
        match id {
            RecordId::Pipeline(name) => {
                self.pipelines.get(name).map(|versioned| versioned.revision)
            }
            RecordId::Workspace(id) => self.workspaces.get(id).map(|versioned| versioned.revision),
            RecordId::Model(name) => self.models.get(name).map(|versioned| versioned.revision),
        }
    }

    /// Returns the findings on all entries, ordered by key.
    #[must_use]
    pub fn findings(&self) -> FindingList {
        let mut entries: Vec<_> = self.findings.iter().collect();
        entries.sort_by_key(|(key, _)| *key);
        let lists = entries.into_iter().map(|(_, list)| list);
        let findings: Vec<Finding> = lists.flat_map(|list| list.iter().cloned()).collect();
        findings.into()
    }

    /// Sets the generation in force of a record, or removes the record if there is
    /// none.
    pub(super) fn set_record(&mut self, id: &RecordId, in_force: Option<&RecordInForce<'_>>) {
        match id {
            RecordId::Pipeline(name) => self.pipelines.set(name, in_force.and_then(as_pipeline)),
            RecordId::Workspace(id) => self.workspaces.set(id, in_force.and_then(as_workspace)),
            RecordId::Model(name) => self.models.set(name, in_force.and_then(as_model)),
        }
    }

    /// Sets the findings on the entry of a key, or removes them if there are none.
    pub(super) fn set_findings(&mut self, key: &str, list: Option<FindingList>) {
        self.findings.set(&key.to_owned(), list.map(Arc::new));
    }
}

fn as_pipeline(in_force: &RecordInForce<'_>) -> Option<VersionedRecord<PipelineRecord>> {
    let SharedRecord::Pipeline(record) = in_force.record else {
        return None;
    };
    Some(VersionedRecord {
        record: Arc::clone(record),
        revision: in_force.revision,
    })
}

fn as_workspace(in_force: &RecordInForce<'_>) -> Option<VersionedRecord<WorkspaceRecord>> {
    let SharedRecord::Workspace(record) = in_force.record else {
        return None;
    };
    Some(VersionedRecord {
        record: Arc::clone(record),
        revision: in_force.revision,
    })
}

fn as_model(in_force: &RecordInForce<'_>) -> Option<VersionedRecord<ModelRecord>> {
    let SharedRecord::Model(record) = in_force.record else {
        return None;
    };
    Some(VersionedRecord {
        record: Arc::clone(record),
        revision: in_force.revision,
    })
}
