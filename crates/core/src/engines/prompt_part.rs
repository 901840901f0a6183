use serde::{Deserialize, Serialize};

use crate::{cluster::rendezvous, units::TokenCount};

/// One part of a prompt. Prompts that begin with the same parts share a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Hash of the part's name.
    pub hash: u64,
    /// Length of the part.
    pub tokens: TokenCount,
}

impl PromptPart {
    /// Creates a part from its name and length.
    #[must_use]
    pub fn new(name: &str, tokens: TokenCount) -> Self {
        Self {
            hash: rendezvous::text_hash(name),
            tokens,
        }
    }
}
