use std::sync::Arc;

use crate::records::{ModelRecord, PipelineRecord, Record, WorkspaceRecord};

/// A record of any kind, shared between snapshots.
#[derive(Clone, Debug)]
pub(super) enum SharedRecord {
    /// A pipeline.
    Pipeline(Arc<PipelineRecord>),
    /// A workspace.
    Workspace(Arc<WorkspaceRecord>),
    /// A model.
    Model(Arc<ModelRecord>),
}

impl From<Record> for SharedRecord {
    fn from(record: Record) -> Self {
        match record {
            Record::Pipeline(record) => Self::Pipeline(Arc::new(record)),
            Record::Workspace(record) => Self::Workspace(Arc::new(record)),
            Record::Model(record) => Self::Model(Arc::new(record)),
        }
    }
}
