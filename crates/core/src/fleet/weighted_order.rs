use crate::{cluster::rendezvous, ids::NodeId};

/// Members in the order in which they take a share of work, the first one
/// most likely in proportion to its weight. All nodes that see the same
/// members find the same order.
#[must_use]
pub fn weighted_order<'a>(share: &str, members: &'a [(NodeId, f64)]) -> Vec<&'a NodeId> {
    let key = rendezvous::text_hash(share);
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

/// Score under which a member wins in proportion to its weight.
// A draw keeps 32 of the hash's bits, which a floating point number holds.
#[allow(clippy::cast_possible_truncation)]
fn weighted_score(hash: u64, weight: f64) -> f64 {
    let draw = (f64::from((hash >> 32) as u32) + 1.0) / (f64::from(u32::MAX) + 2.0);
    -weight.max(f64::MIN_POSITIVE) / draw.ln()
}
