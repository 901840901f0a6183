use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{cluster::rendezvous, engines::PromptPart};

/// Identifies a part of a prompt for one model. What a part does to the engines of
/// one model says nothing about another model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartKey(u64);

/// A text is no key of a part.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("part key {0:?} is not a hexadecimal number of 64 bits")]
pub struct PartKeyError(String);

impl PartKey {
    /// Creates the key of a part in the prompt of a model.
    #[must_use]
    pub fn new(model: &str, part: &PromptPart) -> Self {
        Self(rendezvous::score(part.hash, rendezvous::text_hash(model)))
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for PartKey {
    type Err = PartKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| PartKeyError(text.to_owned()))
    }
}
