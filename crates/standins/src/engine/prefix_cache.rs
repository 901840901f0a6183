use std::collections::HashMap;

use verbenahub_core::protocol::CacheChange;
use xxhash_rust::xxh3::xxh3_64;

/// Length of a block of a prompt, in bytes.
pub const BLOCK_BYTES: usize = 256;
/// Blocks of a prompt that are cached at most.
pub const BLOCK_LIMIT: usize = 16;

/// Prefixes that an engine holds, limited by number of blocks.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    uses: u64,
    prefixes: HashMap<u64, u64>,
}

/// What the cache made of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixUse {
    /// Bytes of the prompt that were cached before.
    pub cached_bytes: usize,
    /// Changes of the cache, in order.
    pub changes: Vec<(u64, CacheChange)>,
}

/// The hashes of the prefixes of a prompt, the shortest first.
#[must_use]
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let blocks = (prompt.len() / BLOCK_BYTES).min(BLOCK_LIMIT);
    (1..=blocks)
        .map(|count| xxh3_64(&prompt[..count * BLOCK_BYTES]))
        .collect()
}

impl PrefixCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: 0,
            prefixes: HashMap::new(),
        }
    }

    /// Looks up a prompt and stores its prefixes.
    pub fn use_prompt(&mut self, prompt: &[u8]) -> PrefixUse {
        let hashes = prefix_hashes(prompt);
        let cached = hashes
            .iter()
            .take_while(|hash| self.prefixes.contains_key(hash))
            .count();
        let mut outcome = PrefixUse {
            cached_bytes: cached * BLOCK_BYTES,
            changes: Vec::new(),
        };
        for hash in hashes {
            self.uses += 1;
            if self.prefixes.insert(hash, self.uses).is_none() {
                outcome.changes.push((hash, CacheChange::Stored));
            }
        }
        self.evict(&mut outcome);
        outcome
    }

    fn evict(&mut self, outcome: &mut PrefixUse) {
        while self.prefixes.len() > self.capacity {
            let oldest = self.prefixes.iter().min_by_key(|(_, used)| **used);
            let Some(hash) = oldest.map(|(hash, _)| *hash) else {
                return;
            };
            self.prefixes.remove(&hash);
            outcome.changes.push((hash, CacheChange::Evicted));
        }
    }
}
