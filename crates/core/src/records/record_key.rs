use std::{fmt, str::FromStr};

use thiserror::Error;

use super::{Record, RecordId, ValueDigest};
use crate::ids::{GenerationNumber, ModelName, NameError, PipelineName, WorkspaceId};

/// Key of one generation of a record: `pipelines/{name}/{generation}-{digest}`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordKey {
    /// Identifier of the record.
    pub id: RecordId,
    /// Generation number of the record.
    pub generation: GenerationNumber,
    /// Digest of the text of the record.
    pub digest: ValueDigest,
}

/// Why a text is not a valid record key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key does not consist of a kind, a name, and a generation with a digest.
    #[error("a key reads `kind/name/generation-digest`")]
    Format,
    /// The first segment is not a known kind.
    #[error("`{0}` is not a kind of key; known are `pipelines`, `workspaces` and `models`")]
    Prefix(String),
    /// The name or the generation is not valid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The generation is not in canonical form: it has leading zeros or a sign.
    #[error("`{0}` is not a generation in decimal digits")]
    Generation(String),
    /// The digest does not consist of 8 lower-case hexadecimal digits.
    #[error("`{0}` is not a digest of 8 lower-case hexadecimal digits")]
    Digest(String),
}

impl RecordKey {
    /// The key under which `record` is published, whose text is `value`.
    #[must_use]
    pub fn of(record: &Record, value: &[u8]) -> Self {
        Self {
            id: record.id(),
            generation: record.generation(),
            digest: ValueDigest::of(value),
        }
    }
}

impl fmt::Display for RecordKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}-{}", self.id, self.generation, self.digest)
    }
}

impl FromStr for RecordKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let mut parts = text.split('/');
        let mut part = || parts.next().ok_or(KeyError::Format);
        let (prefix, name, version) = (part()?, part()?, part()?);
        if parts.next().is_some() {
            return Err(KeyError::Format);
        }
        let (number, digest) = version.split_once('-').ok_or(KeyError::Format)?;
        let generation: GenerationNumber = number.parse()?;
        if generation.to_string() != number {
            return Err(KeyError::Generation(number.to_owned()));
        }
        Ok(Self {
            id: parse_id(prefix, name)?,
            generation,
            digest: digest.parse()?,
        })
    }
}

fn parse_id(prefix: &str, name: &str) -> Result<RecordId, KeyError> {
    match prefix {
        "pipelines" => Ok(RecordId::Pipeline(PipelineName::new(name)?)),
        "workspaces" => Ok(RecordId::Workspace(WorkspaceId::new(name)?)),
        "models" => Ok(RecordId::Model(ModelName::new(name)?)),
        _ => Err(KeyError::Prefix(prefix.to_owned())),
    }
}
