//! Rendezvous hashing. All nodes that see the same live nodes compute the same
//! owner of a key, and when a node joins or leaves, only the keys that it owns
//! move.

use xxhash_rust::xxh3::xxh3_64;

/// Hashes a node's identifier or a key.
#[must_use]
pub fn text_hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Returns the score of a node for a key. The node with the highest score owns
/// the key.
#[must_use]
pub const fn score(key_hash: u64, node_hash: u64) -> u64 {
    let mut mixed = key_hash ^ node_hash.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the position of a key's owner in `node_hashes`, or `None` if there
/// are no nodes.
#[must_use]
pub fn owner(key_hash: u64, node_hashes: &[u64]) -> Option<usize> {
    let scored = node_hashes.iter().map(|hash| score(key_hash, *hash));
    let best = scored.enumerate().max_by_key(|(_, score)| *score)?;
    Some(best.0)
}

/// Returns the positions of the `count` nodes with the highest scores, highest
/// first.
#[must_use]
pub fn owners(key_hash: u64, node_hashes: &[u64], count: usize) -> Vec<usize> {
    let mut positions: Vec<usize> = (0..node_hashes.len()).collect();
    positions.sort_unstable_by_key(|position| {
        std::cmp::Reverse(score(key_hash, node_hashes[*position]))
    });
    positions.truncate(count);
    positions
}

/// Converts a score to a distance: the higher the score, the shorter the
/// distance. If distances are divided by weights, the shortest one belongs to a
/// node with a probability proportional to its weight.
// Scores that round to the same number are ties.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn distance(score: u64) -> f64 {
    let uniform = (score as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln()
}
