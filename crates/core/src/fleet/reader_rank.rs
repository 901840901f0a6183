use super::weighted_order::weighted_order;
use crate::{clock::TimeSpan, ids::NodeId};

/// Nodes that read the platform's store for all. Four bear the loss of most of
/// them, and their calls don't grow with the fleet.
const READERS: usize = 4;
/// Nodes, those included, that read it if none of them gets an answer: enough
/// for a store that turns a third of all nodes away.
const STANDBYS: usize = 12;

/// Time after its start for which a node leaves reading to the seeds: until it
/// knows the others, each one would rank itself as a reader.
const START_SPAN: TimeSpan = TimeSpan::from_millis(5_000);
/// Time after its start for which a node waits for the seeds, which may start a
/// moment later, before it reads the store all the same.
const SEED_GRACE: TimeSpan = TimeSpan::from_millis(1_500);

/// What a node does to learn what the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRank {
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
    pub rank: ReaderRank,
    /// Other nodes to follow, the best first.
    pub sources: Vec<NodeId>,
}

impl ReaderPlan {
    /// The plan of `own` among the active `members` with their weights.
    #[must_use]
    pub fn new(own: &NodeId, members: &[(NodeId, f64)]) -> Self {
        let order = weighted_order("store-reader", members);
        let place = order.iter().position(|node| *node == own);
        let rank = match place {
            Some(place) if place < READERS => ReaderRank::Reader,
            Some(place) if place < STANDBYS => ReaderRank::Standby,
            _ => ReaderRank::Follower,
        };
        let known = order.into_iter().take(STANDBYS);
        let sources = known.filter(|node| *node != own).cloned().collect();
        Self { rank, sources }
    }

    /// Why the node reads the store itself, if it does.
    #[must_use]
    pub fn read_reason(&self, start: &NodeStart) -> Option<&'static str> {
        if start.is_new() {
            return start.is_seed.then_some("a seed that starts");
        }
        (self.rank == ReaderRank::Reader).then_some("a reader by rank")
    }

    /// Whether the node reads the store though it should follow, since no node
    /// that it follows is in contact and `silent` of them did not answer.
    #[must_use]
    pub fn stands_in(&self, start: &NodeStart, silent: u32) -> bool {
        let is_needed = silent > 0 || self.rank != ReaderRank::Follower || self.sources.is_empty();
        is_needed && !start.awaits_seeds()
    }
}

/// What a node is in the first seconds of its run.
///
/// Answers to this load pattern: all nodes start at the same moment, or one
/// after the other, and know nobody. If each of them read the store until it
/// knew the fleet, a start of 300 nodes would cost more calls than a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStart {
    /// Whether others ask this node first.
    pub is_seed: bool,
    /// Whether the node knows of seeds.
    pub has_seeds: bool,
    /// Time since its start.
    pub running: TimeSpan,
}

impl NodeStart {
    /// Whether the node may not know the fleet yet.
    #[must_use]
    pub fn is_new(&self) -> bool {
        self.running < START_SPAN
    }

    /// Whether seeds may still be about to start.
    #[must_use]
    pub fn awaits_seeds(&self) -> bool {
        self.has_seeds && self.running < SEED_GRACE
    }
}
