//! Processing of calls from other nodes and of replies to own calls.

use std::net::SocketAddr;

use super::{
    ClusterAction, ClusterMachine, FeedState, GossipAnswer, GossipAsk, GossipCall, GossipReply,
    MemberRank, MemberRecord, ReplyToken,
    pending_call::CallPurpose,
    pending_reply::PendingReply,
    timings::{INLINE_BYTES, PROBE_TIMEOUT, TRANSFER_BYTES},
};
use crate::{
    clock::ClockTime,
    feed::{BucketDigests, FeedDelta, FeedKind},
    ids::{NodeId, RevisionNumber},
};

impl ClusterMachine {
    pub(super) fn on_call(&mut self, token: ReplyToken, call: GossipCall, now: ClockTime) {
        if call.from.node == self.own.node {
            self.on_same_node_id(&call.from);
            self.push_action(ClusterAction::Refuse { token });
            return;
        }
        let awaiting = self.feeds.each_ref().map(|feed| feed.is_awaiting(now));
        self.merge_updates(&call.from, call.doubt, &call.members, now);
        self.merge_handovers(&call.handovers, now);
        self.expect_pushes(&call, now);
        if self.join.complete {
            self.confirm_feeds(&call.feeds, now);
        }
        let pending = PendingReply {
            token,
            caller: call.from,
            caller_members: call.members,
            handover_digest: call.facts,
            awaiting,
        };
        let deltas = match call.ask {
            GossipAsk::Probe => self.inline_deltas(&call.feeds),
            GossipAsk::Pull { feed, after } => {
                let delta = self.feeds[feed.index()]
                    .replica
                    .delta_after(after, TRANSFER_BYTES);
                vec![(feed, delta)]
            }
            _ => Vec::new(),
        };
        let answer = match call.ask {
            GossipAsk::Relay { node, address } => {
                self.relay_probe(pending, &node, address, now);
                return;
            }
            GossipAsk::Members { digests } => {
                GossipAnswer::Members(self.differing_members(&digests))
            }
            GossipAsk::Push { feed, delta } => {
                self.on_delta(feed, &delta, &pending.caller, now);
                GossipAnswer::Done
            }
            GossipAsk::Compare { feed, digests } => self.answer_compare(feed, &digests),
            GossipAsk::Fetch { feed, fetch } => self.answer_fetch(feed, &fetch),
            GossipAsk::Handovers => GossipAnswer::Handovers(self.handovers.all(now)),
            GossipAsk::Probe | GossipAsk::Pull { .. } => GossipAnswer::Done,
        };
        self.reply(&pending, deltas, answer, now);
    }

    pub(super) fn on_reply(&mut self, id: super::CallId, reply: GossipReply, now: ClockTime) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if reply.from.node == self.own.node {
            self.on_same_node_id(&reply.from);
            return;
        }
        self.join.record_reply(&reply.from.node);
        self.merge_updates(&reply.from, reply.doubt, &reply.members, now);
        self.merge_handovers(&reply.handovers, now);
        self.confirm_feeds(&reply.feeds, call.started);
        for (feed, state) in self.feeds.iter_mut().zip(&reply.feeds) {
            let highest = feed
                .peer_revision
                .map_or(RevisionNumber::ZERO, |seen| seen.1);
            feed.peer_revision = Some((now, highest.max(state.version.revision)));
        }
        let is_pull = matches!(call.purpose, CallPurpose::Pull(_));
        for (feed, delta) in reply.deltas {
            if is_pull {
                self.on_pulled(feed, delta, &reply.from, now);
            } else {
                self.on_delta(feed, &delta, &reply.from, now);
            }
        }
        self.on_answer(call.purpose, reply.answer, &reply.from, now);
        self.compare_tables(&reply.from, reply.table, now);
        self.compare_handovers(&reply.from, reply.facts, now);
        self.compare_feeds(&reply.from, &reply.feeds, now);
    }

    pub(super) fn on_call_failed(&mut self, id: super::CallId, now: ClockTime) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        match call.purpose {
            CallPurpose::Probe(target) => self.on_probe_failed(&target, now),
            CallPurpose::Relay(target) => self.on_relay_result(&target, false, now),
            CallPurpose::RelayedProbe(pending) => {
                let answer = GossipAnswer::Relayed { reached: false };
                self.reply(&pending, Vec::new(), answer, now);
            }
            CallPurpose::Pull(feed) => self.feeds[feed.index()].pull = None,
            _ => {}
        }
    }

    fn on_answer(
        &mut self,
        purpose: CallPurpose,
        answer: GossipAnswer,
        peer: &MemberRecord,
        now: ClockTime,
    ) {
        match (purpose, answer) {
            (CallPurpose::Probe(_), _) => self.probes.record(now, true),
            (CallPurpose::Reconnect, _) if !self.join.complete => self.probes.record(now, true),
            (CallPurpose::Relay(target), GossipAnswer::Relayed { reached }) => {
                self.on_relay_result(&target, reached, now);
            }
            (CallPurpose::RelayedProbe(pending), _) => {
                let answer = GossipAnswer::Relayed { reached: true };
                self.reply(&pending, Vec::new(), answer, now);
            }
            (CallPurpose::Members, GossipAnswer::Members(members)) => {
                self.delay_next_member_sync(members.len(), now);
                self.merge_table(&members, now);
            }
            (CallPurpose::Handovers, GossipAnswer::Handovers(records)) => {
                self.merge_handovers(&records, now);
            }
            (CallPurpose::Compare(feed), GossipAnswer::Listed(list)) => {
                self.on_listed(feed, &list, peer, now);
            }
            (CallPurpose::Fetch(feed, plan), GossipAnswer::Fetched(items)) => {
                self.on_fetched(feed, &plan, &items);
            }
            _ => {}
        }
    }

    fn reply(
        &mut self,
        pending: &PendingReply,
        deltas: Vec<(FeedKind, FeedDelta)>,
        answer: GossipAnswer,
        now: ClockTime,
    ) {
        let mut feeds = [self.feeds[0].state(now), self.feeds[1].state(now)];
        for (state, awaiting) in feeds.iter_mut().zip(pending.awaiting) {
            state.awaiting = awaiting;
        }
        let handover_digest = self.handovers.digest();
        let handovers = if handover_digest == pending.handover_digest {
            Vec::new()
        } else {
            self.handovers.take(self.send_limit(), now)
        };
        let reply = GossipReply {
            from: self.own.clone(),
            doubt: self.doubt_of_sender(&pending.caller),
            table: self.table_digest(),
            facts: handover_digest,
            feeds,
            members: self.take_updates(&pending.caller_members),
            handovers,
            deltas,
            answer,
        };
        let token = pending.token;
        let reply = Box::new(reply);
        self.push_action(ClusterAction::Reply { token, reply });
    }

    /// The rank held for the sender of a message, if it is larger than the one
    /// that the sender states itself.
    fn doubt_of_sender(&self, sender: &MemberRecord) -> Option<MemberRank> {
        let rank = self.table.get(&sender.node)?.record.rank;
        (rank > sender.rank).then_some(rank)
    }

    fn relay_probe(
        &mut self,
        pending: PendingReply,
        node: &NodeId,
        address: SocketAddr,
        now: ClockTime,
    ) {
        let purpose = CallPurpose::RelayedProbe(pending);
        let ask = GossipAsk::Probe;
        self.call(Some(node), address, ask, purpose, PROBE_TIMEOUT, now);
    }

    fn expect_pushes(&mut self, call: &GossipCall, now: ClockTime) {
        for (feed, state) in self.feeds.iter_mut().zip(&call.feeds) {
            let behind = feed.replica.revision() < state.version.revision;
            if behind && !feed.is_awaiting(now) {
                feed.expect_push(now);
            }
        }
    }

    /// Returns the deltas of the feeds in which the caller is behind, if they are
    /// small enough for the reply to a probe.
    fn inline_deltas(&self, states: &[FeedState; 2]) -> Vec<(FeedKind, FeedDelta)> {
        let mut deltas = Vec::new();
        for (feed, state) in self.feeds.iter().zip(states) {
            let after = state.version.revision;
            if state.awaiting || feed.replica.revision() <= after {
                continue;
            }
            let delta = feed.replica.delta_after(after, INLINE_BYTES);
            if !delta.more {
                deltas.push((feed.kind, delta));
            }
        }
        deltas
    }

    fn differing_members(&self, digests: &BucketDigests) -> Vec<MemberRecord> {
        let buckets = self.table.buckets_with(&self.own).differing(digests);
        self.table.records_in(&buckets)
    }
}
