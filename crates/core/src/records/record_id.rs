use std::fmt;

use super::RecordKind;
use crate::ids::{ModelName, PipelineName, WorkspaceId};

/// Identifier of a record, the same for all its generations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordId {
    /// A pipeline.
    Pipeline(PipelineName),
    /// A workspace.
    Workspace(WorkspaceId),
    /// A model.
    Model(ModelName),
}

impl RecordId {
    /// Kind of the record.
    #[must_use]
    pub const fn kind(&self) -> RecordKind {
        match self {
            Self::Pipeline(_) => RecordKind::Pipeline,
            Self::Workspace(_) => RecordKind::Workspace,
            Self::Model(_) => RecordKind::Model,
        }
    }

    /// Name of the record.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Pipeline(name) => name.as_str(),
            Self::Workspace(id) => id.as_str(),
            Self::Model(name) => name.as_str(),
        }
    }
}

impl fmt::Display for RecordId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind().key_prefix(), self.name())
    }
}
