use crate::{cluster::rendezvous, ids::NodeId};

/// Orders members by their preference for the work named `work` (weighted
/// rendezvous hashing). Each member is first with a probability proportional to
/// its weight. All nodes with the same members compute the same order.
#[must_use]
pub fn weighted_order<'a>(work: &str, members: &'a [(NodeId, f64)]) -> Vec<&'a NodeId> {
    let key = rendezvous::text_hash(work);
    let mut scored: Vec<(f64, &NodeId)> = members
        .iter()
        .map(|(node, weight)| {
            let hash = rendezvous::score(key, rendezvous::text_hash(node.as_str()));
            (weighted_score(hash, *weight), node)
        })
        .collect();
    scored.sort_by(|left, right| right.0.total_cmp(&left.0));
    scored.into_iter().map(|(_, node)| node).collect()
}

/// Converts a hash to a score. The highest score belongs to a member with a
/// probability proportional to the member's weight.
// Only 32 bits of the hash are used, which a floating point number holds exactly.
#[allow(clippy::cast_possible_truncation)]
fn weighted_score(hash: u64, weight: f64) -> f64 {
    let uniform = (f64::from((hash >> 32) as u32) + 1.0) / (f64::from(u32::MAX) + 2.0);
    -weight.max(f64::MIN_POSITIVE) / uniform.ln()
}
