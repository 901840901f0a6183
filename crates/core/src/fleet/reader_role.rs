use super::{StartupState, weighted_order::weighted_order};
use crate::ids::NodeId;

/// Nodes that read the platform's store for all. Four bear the loss of most of
/// them, and their calls don't grow with the fleet.
const READERS: usize = 4;
/// Nodes, those included, that read it if none of them gets an answer: enough
/// for a store that turns a third of all nodes away.
const STANDBYS: usize = 12;

/// What a node does to learn what the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// Reads the store.
    Reader,
    /// Follows the readers, and reads the store if none of them can.
    Standby,
    /// Follows others.
    Follower,
}

/// Which nodes read the store, and which nodes follow them.
///
/// Answers to this load pattern: every change would wake a waiting read of
/// every node, and calls to the store are counted over all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReaderPlan {
    /// What this node does.
    pub role: ReaderRole,
    /// Other nodes to follow, the best first.
    pub sources: Vec<NodeId>,
}

impl ReaderPlan {
    /// The plan of `own` among the active `members` with their weights.
    #[must_use]
    pub fn new(own: &NodeId, members: &[(NodeId, f64)]) -> Self {
        let order = weighted_order("store-reader", members);
        let place = order.iter().position(|node| *node == own);
        let role = match place {
            Some(place) if place < READERS => ReaderRole::Reader,
            Some(place) if place < STANDBYS => ReaderRole::Standby,
            _ => ReaderRole::Follower,
        };
        let known = order.into_iter().take(STANDBYS);
        let sources = known.filter(|node| *node != own).cloned().collect();
        Self { role, sources }
    }

    /// Why the node reads the store itself, if it does.
    #[must_use]
    pub fn read_reason(&self, start: &StartupState) -> Option<&'static str> {
        if start.is_starting() {
            return start.is_seed.then_some("a seed that starts");
        }
        (self.role == ReaderRole::Reader).then_some("a reader by rank")
    }

    /// Whether the node reads the store though it should follow, since no node
    /// that it follows is in contact and `silent` of them did not answer.
    #[must_use]
    pub fn reads_as_fallback(&self, start: &StartupState, silent: u32) -> bool {
        let is_needed = silent > 0 || self.role != ReaderRole::Follower || self.sources.is_empty();
        is_needed && !start.awaits_seeds()
    }
}
