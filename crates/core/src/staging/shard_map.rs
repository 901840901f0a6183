use crate::{
    cluster::rendezvous,
    fleet::weighted_order,
    ids::{NodeId, PoolName, TargetId},
};

/// Which node collects the pieces for which targets of a service.
///
/// Answers to this load pattern: each call costs a fixed time, so pieces of
/// requests that reached different nodes must share calls, while nodes and
/// targets come and go all the time. All nodes that see the same members and
/// targets name the same owners. Each target has its owner by itself: one that
/// joins or leaves moves no other, and a collector that leaves moves its own
/// targets and some to the node that takes its place. Where views differ, a
/// target gets calls from two nodes, which costs waiting and nothing else.
#[derive(Clone, Debug)]
pub struct ShardMap {
    owners: Vec<NodeId>,
    /// Targets with their hashes and the places of their owners.
    targets: Vec<(TargetId, u64, usize)>,
}

impl ShardMap {
    /// Targets of a stage that one node collects for, on average. A collector of a
    /// whole service fills calls best and lets no target wait beside a queue; the
    /// work for more targets than this takes a quarter of the largest VMs.
    pub const STAGE_TARGETS_PER_OWNER: usize = 16;
    /// Engines that one node chooses among, on average. The more, the better its
    /// choices; those for as many take a tenth of a core. Where one engine more or
    /// less changes the number of nodes, all books begin anew.
    pub const ENGINES_PER_OWNER: usize = 256;

    /// Names the owners of the targets of a service among `members`, each with
    /// its weight, one for each `share` targets.
    #[must_use]
    pub fn new(
        service: &PoolName,
        targets: &[TargetId],
        members: &[(NodeId, f64)],
        share: usize,
    ) -> Self {
        let count = targets.len().div_ceil(share.max(1)).max(1);
        let owners = weighted_order(service.as_str(), members);
        let owners: Vec<NodeId> = owners.into_iter().take(count).cloned().collect();
        let hashes: Vec<u64> = owners
            .iter()
            .map(|owner| rendezvous::text_hash(owner.as_str()))
            .collect();
        let owned = targets.iter().filter_map(|target| {
            let hash = rendezvous::text_hash(target.as_str());
            let place = rendezvous::owner(hash, &hashes)?;
            Some((target.clone(), hash, place))
        });
        Self {
            targets: owned.collect(),
            owners,
        }
    }

    /// Number of owners. None without members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether there is no owner.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// The owners.
    #[must_use]
    pub fn owners(&self) -> &[NodeId] {
        &self.owners
    }

    /// Owner of the work of a request: that of a target which the request
    /// names, so that each owner gets as large a share of the requests as it has
    /// of the targets.
    #[must_use]
    pub fn owner_of_request(&self, request: &str) -> Option<&NodeId> {
        let key = rendezvous::text_hash(request);
        let scored = self.targets.iter();
        let chosen = scored.max_by_key(|(_, hash, _)| rendezvous::score(key, *hash));
        let place = chosen.map_or(0, |(_, _, place)| *place);
        self.owners.get(place)
    }

    /// The targets that `node` collects for.
    #[must_use]
    pub fn targets_of(&self, node: &NodeId) -> Vec<TargetId> {
        let place = self.owners.iter().position(|owner| owner == node);
        let owned = self.targets.iter();
        let owned = owned.filter(|(_, _, owner)| Some(*owner) == place);
        owned.map(|(target, _, _)| target.clone()).collect()
    }
}
