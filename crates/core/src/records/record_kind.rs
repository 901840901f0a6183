use std::{fmt, str::FromStr};

use thiserror::Error;

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKind {
    /// A pipeline.
    Pipeline,
    /// A workspace.
    Workspace,
    /// A model.
    Model,
}

/// The text is not a kind of record. Holds the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a kind of record; write `pipeline`, `workspace` or `model`")]
pub struct KindError(pub String);

impl RecordKind {
    /// The newest schema version that this build knows.
    #[must_use]
    pub const fn newest_schema(self) -> u64 {
        match self {
            Self::Pipeline => 2,
            Self::Workspace | Self::Model => 1,
        }
    }

    /// First segment of the keys of records of this kind.
    #[must_use]
    pub const fn key_prefix(self) -> &'static str {
        match self {
            Self::Pipeline => "pipelines",
            Self::Workspace => "workspaces",
            Self::Model => "models",
        }
    }
}

impl fmt::Display for RecordKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Pipeline => "pipeline",
            Self::Workspace => "workspace",
            Self::Model => "model",
        })
    }
}

impl FromStr for RecordKind {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        match text {
            "pipeline" => Ok(Self::Pipeline),
            "workspace" => Ok(Self::Workspace),
            "model" => Ok(Self::Model),
            _ => Err(KindError(text.to_owned())),
        }
    }
}
