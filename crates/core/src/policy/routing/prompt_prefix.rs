use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Block size of prefix hashes, in bytes of the prompt.
pub const PREFIX_BLOCK_BYTES: usize = 256;
/// Maximum number of blocks that are hashed. Prompts that differ only after these
/// blocks count as equal.
const MAX_BLOCKS: usize = 64;

/// Hashes of the prefixes of a prompt that consist of whole blocks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefix {
    hashes: Vec<u64>,
    affinity_key: u64,
}

impl PromptPrefix {
    /// Hashes the whole blocks of a prompt. The salt distinguishes the affinity
    /// keys of different models and adapters. The prefix hashes do not depend on
    /// it, because they must equal those in the engines' cache events.
    #[must_use]
    pub fn of(prompt: &[u8], salt: u64) -> Self {
        let mut state = Xxh3::new();
        let mut hashes = Vec::with_capacity(MAX_BLOCKS.min(prompt.len() / PREFIX_BLOCK_BYTES));
        for block in prompt.chunks_exact(PREFIX_BLOCK_BYTES).take(MAX_BLOCKS) {
            state.update(block);
            hashes.push(state.digest());
        }
        let affinity_key = hashes
            .first()
            .map_or(0, |hash| xxh3_64_with_seed(&hash.to_le_bytes(), salt));
        Self {
            hashes,
            affinity_key,
        }
    }

    /// The prefixes of a prompt without a whole block.
    #[must_use]
    pub fn none() -> Self {
        Self::default()
    }

    /// Hashes of the prefixes in order of their length, shortest first.
    #[must_use]
    pub fn hashes(&self) -> &[u64] {
        &self.hashes
    }

    /// Consistent hashing key that prompts with the same first block share; `None`
    /// without a whole block.
    #[must_use]
    pub fn affinity_key(&self) -> Option<u64> {
        (!self.hashes.is_empty()).then_some(self.affinity_key)
    }
}
