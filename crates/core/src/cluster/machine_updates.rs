//! Member records and confirmation ages that are piggybacked on every message.

use super::{
    ClusterMachine, FeedState, MemberRank, MemberRecord,
    timings::{MEMBERS_PER_BACKLOGGED_MESSAGE, MEMBERS_PER_MESSAGE, UPDATE_BACKLOG_THRESHOLD},
};
use crate::{clock::ClockTime, ids::NodeId};

/// Number of times that a record is sent, for each decimal digit of the cluster
/// size.
const SENDS_PER_DIGIT: u32 = 4;

impl ClusterMachine {
    /// Takes the member records to piggyback on the next message, except those
    /// that the receiver has just sent itself. While there is a backlog, each
    /// record is sent fewer times, and comparing tables transfers those that a
    /// node missed.
    pub(super) fn take_updates(&mut self, receiver_members: &[MemberRecord]) -> Vec<MemberRecord> {
        let backlogged = self.updates.len() > UPDATE_BACKLOG_THRESHOLD;
        let (count, limit) = if backlogged {
            (MEMBERS_PER_BACKLOGGED_MESSAGE, SENDS_PER_DIGIT)
        } else {
            (MEMBERS_PER_MESSAGE, self.send_limit())
        };
        let known = receiver_members.iter().map(|record| &record.node).collect();
        let nodes = self.updates.take(count, limit, &known);
        let records = nodes.iter().filter_map(|node| self.record_of(node));
        records.collect()
    }

    /// Number of times that each record is sent.
    pub(super) fn send_limit(&self) -> u32 {
        let nodes = self.table.len() + 1;
        SENDS_PER_DIGIT * (nodes.ilog10() + 1)
    }

    pub(super) fn merge_updates(
        &mut self,
        from: &MemberRecord,
        doubt: Option<MemberRank>,
        members: &[MemberRecord],
        now: ClockTime,
    ) {
        if let Some(rank) = doubt {
            self.on_own_rank(rank);
        }
        self.merge_member(from, now);
        for record in members {
            self.merge_member(record, now);
        }
    }

    pub(super) fn merge_member(&mut self, record: &MemberRecord, now: ClockTime) {
        if record.node == self.own.node {
            self.on_own_rank(record.rank);
            return;
        }
        let was_leaving = self.is_leaving(&record.node);
        if !self.table.merge(record, now, &mut self.rng) {
            return;
        }
        self.updates.push(&record.node);
        if !was_leaving && record.rank.leaving {
            self.schedule_announcement();
        }
    }

    fn is_leaving(&self, node: &NodeId) -> bool {
        let member = self.table.get(node);
        member.is_some_and(|state| state.record.rank.leaving)
    }

    /// Merges the member records from a comparison of tables. The first time
    /// after the start, the other nodes already know these records, so they are
    /// not queued for sending.
    pub(super) fn merge_table(&mut self, members: &[MemberRecord], now: ClockTime) {
        for record in members {
            if self.members_synced || record.node == self.own.node {
                self.merge_member(record, now);
            } else {
                self.table.merge(record, now, &mut self.rng);
            }
        }
        self.members_synced = true;
    }

    /// Handles a rank that another node holds for this node, and refutes it if
    /// it is larger than this node's own.
    fn on_own_rank(&mut self, rank: MemberRank) {
        let own = self.own.rank;
        if rank.incarnation > own.incarnation {
            self.mark_superseded();
        } else if rank > own {
            self.own.rank = MemberRank {
                leaving: own.leaving,
                ..rank.refuted()
            };
            let node = self.own.node.clone();
            self.updates.push(&node);
        }
    }

    pub(super) fn on_same_node_id(&mut self, other: &MemberRecord) {
        if other.rank.incarnation > self.own.rank.incarnation {
            self.mark_superseded();
        }
    }

    /// Merges the ages of a peer's feed confirmations. `from` is a time not later
    /// than the one at which the peer stated them. A call that is received after
    /// a pause of this process may be old, so only replies count until the node
    /// has joined again.
    pub(super) fn confirm_feeds(&mut self, states: &[FeedState; 2], from: ClockTime) {
        for (feed, state) in self.feeds.iter_mut().zip(states) {
            if let Some(ago) = state.confirmed_ago {
                feed.confirm(from - ago);
            }
        }
    }

    fn record_of(&self, node: &NodeId) -> Option<MemberRecord> {
        if *node == self.own.node {
            return Some(self.own.clone());
        }
        self.table.get(node).map(|state| state.record.clone())
    }
}
