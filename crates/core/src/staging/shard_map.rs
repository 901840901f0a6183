use crate::{
    cluster::rendezvous,
    fleet::weighted_order,
    ids::{NodeId, PoolName, TargetId},
};

/// Assigns each target of a service to an owner: the node that collects the
/// pieces for it.
///
/// Designed for this load: each call costs a fixed time, so pieces of requests
/// that arrive at different nodes must share calls, while nodes and targets join
/// and leave all the time. All nodes with the same view of members and targets
/// compute the same owners by rendezvous hashing. Each target is assigned
/// independently: one that joins or leaves moves no other. If an owner leaves,
/// its own targets move, and some others move to the node that replaces it.
/// While views differ, a target may get calls from two nodes, which costs only
/// waiting time.
#[derive(Clone, Debug)]
pub struct ShardMap {
    owners: Vec<NodeId>,
    /// Targets with their hashes and the positions of their owners in `owners`.
    targets: Vec<(TargetId, u64, usize)>,
}

impl ShardMap {
    /// Average number of a stage's targets that one node collects for. A single
    /// collector of a whole service would fill calls best and leave no target idle
    /// while pieces wait elsewhere, but the work for more targets than this takes a
    /// quarter of the largest VMs.
    pub const STAGE_TARGETS_PER_OWNER: usize = 16;
    /// Average number of engines that one node chooses among. More engines allow
    /// better choices; choosing among this many takes a tenth of a core. Where one
    /// engine more or less changes the number of owners, all of them start again
    /// without the state they keep about their engines.
    pub const ENGINES_PER_OWNER: usize = 256;

    /// Selects owners for the targets of a service among `members`, which are given
    /// with their weights: one owner for each `targets_per_owner` targets.
    #[must_use]
    pub fn new(
        service: &PoolName,
        targets: &[TargetId],
        members: &[(NodeId, f64)],
        targets_per_owner: usize,
    ) -> Self {
        let owner_count = targets.len().div_ceil(targets_per_owner.max(1)).max(1);
        let owners = weighted_order(service.as_str(), members);
        let owners: Vec<NodeId> = owners.into_iter().take(owner_count).cloned().collect();
        let hashes: Vec<u64> = owners
            .iter()
            .map(|owner| rendezvous::text_hash(owner.as_str()))
            .collect();
        let owned = targets.iter().filter_map(|target| {
            let hash = rendezvous::text_hash(target.as_str());
            let owner_index = rendezvous::owner(hash, &hashes)?;
            Some((target.clone(), hash, owner_index))
        });
        Self {
            targets: owned.collect(),
            owners,
        }
    }

    /// Number of owners. Zero without members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether there are no owners.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Nodes that own targets of the service.
    #[must_use]
    pub fn owners(&self) -> &[NodeId] {
        &self.owners
    }

    /// Owner of the work of a request: the owner of the target that the request
    /// hashes to, so that requests are shared in proportion to the targets.
    #[must_use]
    pub fn owner_of_request(&self, request: &str) -> Option<&NodeId> {
        let key = rendezvous::text_hash(request);
        let scored = self.targets.iter();
        let chosen = scored.max_by_key(|(_, hash, _)| rendezvous::score(key, *hash));
        let owner_index = chosen.map_or(0, |(_, _, owner_index)| *owner_index);
        self.owners.get(owner_index)
    }

    /// Owner of a target.
    #[must_use]
    pub fn owner_of_target(&self, target: &TargetId) -> Option<&NodeId> {
        let mut targets = self.targets.iter();
        let (_, _, owner_index) = targets.find(|(id, _, _)| id == target)?;
        self.owners.get(*owner_index)
    }

    /// Targets that `node` owns.
    #[must_use]
    pub fn targets_of(&self, node: &NodeId) -> Vec<TargetId> {
        let owner_index = self.owners.iter().position(|owner| owner == node);
        let owned = self.targets.iter();
        let owned = owned.filter(|(_, _, owner)| Some(*owner) == owner_index);
        owned.map(|(target, _, _)| target.clone()).collect()
    }
}
