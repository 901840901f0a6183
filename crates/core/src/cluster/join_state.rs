use std::collections::BTreeSet;

use super::timings::{JOIN_PEERS, JOIN_TIMEOUT};
use crate::{clock::ClockTime, ids::NodeId};

/// Progress of joining the cluster, at the start of the process and again after
/// each pause. The node is not ready before it has joined.
#[derive(Clone, Debug)]
pub(super) struct JoinState {
    /// Whether the node has joined.
    pub(super) complete: bool,
    /// Whether the node rejoins after a pause instead of a start.
    pub(super) resuming: bool,
    started: ClockTime,
    replied: BTreeSet<NodeId>,
}

impl JoinState {
    pub(super) const fn new(now: ClockTime, resuming: bool) -> Self {
        Self {
            complete: false,
            resuming,
            started: now,
            replied: BTreeSet::new(),
        }
    }

    /// Records a reply from a peer.
    pub(super) fn record_reply(&mut self, node: &NodeId) {
        if !self.complete {
            self.replied.insert(node.clone());
        }
    }

    pub(super) fn has_replied(&self, node: &NodeId) -> bool {
        self.replied.contains(node)
    }

    pub(super) fn any_replied(&self) -> bool {
        !self.replied.is_empty()
    }

    /// Whether enough peers have replied, given `others` known peers.
    pub(super) fn enough_replied(&self, others: usize) -> bool {
        self.replied.len() >= JOIN_PEERS.min(others)
    }

    /// Whether the time limit for replies has passed.
    pub(super) fn is_timed_out(&self, now: ClockTime) -> bool {
        now.since(self.started) >= JOIN_TIMEOUT
    }
}
