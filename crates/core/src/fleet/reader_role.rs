use super::{StartupState, weighted_order::weighted_order};
use crate::ids::NodeId;

/// Number of nodes that read the platform's store for all others. Four tolerate
/// the loss of most of them, and the number of calls does not grow with the
/// fleet.
const READER_COUNT: usize = 4;
/// Number of readers and standbys together. Enough for a store that rejects a
/// third of all nodes.
const READER_AND_STANDBY_COUNT: usize = 12;

/// How a node learns the content of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// Reads the store.
    Reader,
    /// Follows the readers, and reads the store if none of them can.
    Standby,
    /// Follows readers and standbys.
    Follower,
}

/// The role of a node, and the nodes that it follows.
///
/// Designed for this load: each change would complete a waiting read of every
/// node, and calls to the store are counted across all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReaderPlan {
    /// The role of this node.
    pub role: ReaderRole,
    /// Other nodes to follow, the preferred one first.
    pub sources: Vec<NodeId>,
    /// Number of them, from the first on, that read the store in preference to this
    /// node.
    pub preferred: usize,
}

impl ReaderPlan {
    /// Creates the plan of the node `own`. `members` are the members among
    /// which readers are selected, with their weights.
    #[must_use]
    pub fn new(own: &NodeId, members: &[(NodeId, f64)]) -> Self {
        let order = weighted_order("store-reader", members);
        let position = order.iter().position(|node| *node == own);
        let role = match position {
            Some(position) if position < READER_COUNT => ReaderRole::Reader,
            Some(position) if position < READER_AND_STANDBY_COUNT => ReaderRole::Standby,
            _ => ReaderRole::Follower,
        };
        let candidates = order.into_iter().take(READER_AND_STANDBY_COUNT);
        let sources: Vec<NodeId> = candidates.filter(|node| *node != own).cloned().collect();
        let preferred = position.unwrap_or(sources.len()).min(sources.len());
        Self {
            role,
            sources,
            preferred,
        }
    }

    /// Returns why the node reads the store regularly, or nothing if it does
    /// not.
    #[must_use]
    pub fn read_reason(&self, startup: &StartupState) -> Option<&'static str> {
        if startup.is_starting() {
            return startup.is_seed.then_some("seed node is starting");
        }
        (self.role == ReaderRole::Reader).then_some("node has the reader role")
    }

    /// Whether the node reads the store as a fallback, because none of the
    /// nodes that it follows is in contact with the store. `unresponsive` is
    /// the number of followed nodes that did not answer.
    #[must_use]
    pub fn reads_as_fallback(&self, startup: &StartupState, unresponsive: u32) -> bool {
        let is_needed =
            unresponsive > 0 || self.role != ReaderRole::Follower || self.sources.is_empty();
        is_needed && !startup.awaits_seeds()
    }
}
