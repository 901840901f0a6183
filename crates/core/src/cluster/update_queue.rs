use std::collections::{BTreeMap, BTreeSet};

use crate::ids::NodeId;

/// Members whose records are still being disseminated, ordered by the number of
/// times that they were sent.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueue {
    order: BTreeSet<(u32, u64, NodeId)>,
    positions: BTreeMap<NodeId, (u32, u64)>,
    sequence: u64,
}

impl UpdateQueue {
    /// Queues a member whose record has changed.
    pub(super) fn push(&mut self, node: &NodeId) {
        self.remove(node);
        self.insert(node.clone(), 0);
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Takes up to `count` members, the least often sent first. Each is sent at
    /// most `limit` times. Members in `known` are skipped, since the receiver
    /// has just sent their records itself.
    pub(super) fn take(
        &mut self,
        count: usize,
        limit: u32,
        known: &BTreeSet<&NodeId>,
    ) -> Vec<NodeId> {
        let fresh = |place: &&(u32, u64, NodeId)| !known.contains(&place.2);
        let places = self.order.iter().filter(fresh).take(count);
        let taken: Vec<(u32, NodeId)> = places
            .map(|(times, _, node)| (*times, node.clone()))
            .collect();
        for (times, node) in &taken {
            self.remove(node);
            if times + 1 < limit {
                self.insert(node.clone(), times + 1);
            }
        }
        taken.into_iter().map(|(_, node)| node).collect()
    }

    fn insert(&mut self, node: NodeId, times: u32) {
        self.sequence += 1;
        self.positions.insert(node.clone(), (times, self.sequence));
        self.order.insert((times, self.sequence, node));
    }

    fn remove(&mut self, node: &NodeId) {
        if let Some((times, sequence)) = self.positions.remove(node) {
            self.order.remove(&(times, sequence, node.clone()));
        }
    }
}
