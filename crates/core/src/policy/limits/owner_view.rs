use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    ids::{NodeId, TargetId},
    policy::WorkspaceHash,
};

/// The nodes that one node considers live, and the number of listed nodes.
///
/// Selects the owner of a key by rendezvous hashing over the live nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerView {
    nodes: Vec<ViewNode>,
    listed_count: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct ViewNode {
    node: NodeId,
    hash: u64,
}

impl OwnerView {
    /// Creates a view of the live nodes, including this one, out of `listed`
    /// nodes in the platform's list.
    #[must_use]
    pub fn new<I>(live: I, listed: usize) -> Self
    where
        I: IntoIterator<Item = NodeId>,
    {
        let nodes: Vec<ViewNode> = live
            .into_iter()
            .map(|node| ViewNode {
                hash: xxh3_64(node.as_str().as_bytes()),
                node,
            })
            .collect();
        let listed_count = listed.max(nodes.len());
        Self {
            nodes,
            listed_count,
        }
    }

    /// The node that leases out a workspace's limit; `None` without live nodes.
    #[must_use]
    pub fn owner(&self, workspace: WorkspaceHash) -> Option<&NodeId> {
        self.owner_of_key(workspace.get())
    }

    /// The node that sends a target its orders; `None` without live nodes.
    #[must_use]
    pub fn target_owner(&self, target: &TargetId) -> Option<&NodeId> {
        self.owner_of_key(xxh3_64(target.as_str().as_bytes()))
    }

    fn owner_of_key(&self, seed: u64) -> Option<&NodeId> {
        let weight = |member: &&ViewNode| xxh3_64_with_seed(&member.hash.to_le_bytes(), seed);
        self.nodes
            .iter()
            .max_by_key(weight)
            .map(|member| &member.node)
    }

    /// Number of live nodes.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.nodes.len()
    }

    /// Number of nodes in the platform's list, at least the live ones.
    #[must_use]
    pub const fn listed_count(&self) -> usize {
        self.listed_count
    }
}
