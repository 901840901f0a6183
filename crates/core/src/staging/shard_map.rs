use crate::{
    cluster::rendezvous,
    fleet::weighted_order,
    ids::{NodeId, PoolName, TargetId},
};

/// Targets of a service that one node collects for at most. A collector of a
/// whole service fills calls best and lets no target wait beside a queue; the
/// work for more targets than this takes a quarter of the largest VMs.
const SHARD_TARGETS: usize = 16;

/// Which node collects the pieces for which targets of a service.
///
/// Answers to this load pattern: each call costs a fixed time, so pieces of
/// requests that reached different nodes must share calls. All nodes that see
/// the same members and targets name the same owners. Where they differ, a
/// target gets calls from two nodes, which costs waiting and nothing else.
#[derive(Clone, Debug)]
pub struct ShardMap {
    owners: Vec<NodeId>,
    targets: usize,
}

impl ShardMap {
    /// Names the owners of all shards of a service with `targets` targets
    /// among `members`, each with its weight.
    #[must_use]
    pub fn new(service: &PoolName, targets: usize, members: &[(NodeId, f64)]) -> Self {
        let shards = targets.div_ceil(SHARD_TARGETS).max(1);
        let owners = weighted_order(service.as_str(), members);
        let owners = owners.into_iter().take(shards).cloned().collect();
        Self { owners, targets }
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

    /// Owner of the shard that a request belongs to. Each has as large a share
    /// of the requests as of the targets.
    #[must_use]
    pub fn owner_of_request(&self, request: &str) -> Option<&NodeId> {
        let count = u64::try_from(self.targets.max(self.owners.len())).ok()?;
        let place = rendezvous::text_hash(request).checked_rem(count)?;
        let place = usize::try_from(place).ok()?;
        self.owners.get(place.checked_rem(self.owners.len())?)
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
}
