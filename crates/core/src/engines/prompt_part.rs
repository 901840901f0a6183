use serde::{Deserialize, Serialize};

use crate::{cluster::rendezvous, units::TokenCount};

/// One part of a prompt. Requests that begin with the same parts share them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Hash of the part's name.
    pub hash: u64,
    /// Its size.
    pub tokens: TokenCount,
}

impl PromptPart {
    /// Creates the part of a name.
    #[must_use]
    pub fn new(name: &str, tokens: TokenCount) -> Self {
        Self {
            hash: rendezvous::text_hash(name),
            tokens,
        }
    }
}
