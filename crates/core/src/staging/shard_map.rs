use crate::{
    cluster::rendezvous,
    ids::{NodeId, PoolName, TargetId},
};

/// Targets of a service that one node collects for at most. A collector of a
/// whole service fills calls best; more targets than this are a load that a
/// small VM can't carry.
const SHARD_TARGETS: usize = 8;

/// Which node collects the pieces for which targets of a service.
///
/// Answers to this load pattern: each call costs a fixed time, so pieces of
/// requests that reached different nodes must share calls. All nodes that see
/// the same members and targets name the same owners. Where they differ, a
/// target gets calls from two nodes, which costs waiting and nothing else.
#[derive(Clone, Debug)]
pub struct ShardMap {
    owners: Vec<NodeId>,
}

impl ShardMap {
    /// Names the owners of all shards of a service with `targets` targets
    /// among `members`, each with its weight.
    #[must_use]
    pub fn new(service: &PoolName, targets: usize, members: &[(NodeId, f64)]) -> Self {
        let shards = targets.div_ceil(SHARD_TARGETS).max(1);
        let owners = (0..shards)
            .filter_map(|shard| Self::owner(service, shard, members))
            .collect();
        Self { owners }
    }

    /// Number of shards. None without members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether there is no owner.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Owner of the shard that a request belongs to.
    #[must_use]
    pub fn owner_of_request(&self, request: &str) -> Option<&NodeId> {
        let count = u64::try_from(self.owners.len()).ok()?;
        let shard = rendezvous::text_hash(request).checked_rem(count)?;
        self.owners.get(usize::try_from(shard).ok()?)
    }

    /// The part of `targets`, given in order, that `node` collects for.
    #[must_use]
    pub fn targets_of(&self, node: &NodeId, targets: &[TargetId]) -> Vec<TargetId> {
        let count = self.owners.len().max(1);
        let owned = targets.iter().enumerate().filter(|(place, _)| {
            let owner = self.owners.get(place % count);
            owner == Some(node)
        });
        owned.map(|(_, target)| target.clone()).collect()
    }

    fn owner(service: &PoolName, shard: usize, members: &[(NodeId, f64)]) -> Option<NodeId> {
        let key = rendezvous::text_hash(&format!("{service}#{shard}"));
        let scored = members.iter().map(|(node, weight)| {
            let hash = rendezvous::score(key, rendezvous::text_hash(node.as_str()));
            (weighted_score(hash, *weight), node)
        });
        let best = scored.max_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(best.1.clone())
    }
}

/// Score under which a member wins in proportion to its weight.
// A draw keeps 32 of the hash's bits, which a floating point number holds.
#[allow(clippy::cast_possible_truncation)]
fn weighted_score(hash: u64, weight: f64) -> f64 {
    let draw = (f64::from((hash >> 32) as u32) + 1.0) / (f64::from(u32::MAX) + 2.0);
    -weight.max(f64::MIN_POSITIVE) / draw.ln()
}
