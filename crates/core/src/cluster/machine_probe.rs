//! Failure detection, reconnection, comparison of tables, and the assignment of
//! feed readers.

use super::{
    ClusterMachine, GossipAsk, MemberCondition, MemberRecord,
    feed_tracker::FeedTracker,
    pending_call::CallPurpose,
    rendezvous,
    timings::{
        DIGEST_BYTES, HANDOVER_BYTES, HANDOVER_SYNC_BYTES_PER_SECOND, JOIN_PEERS, MEMBER_BYTES,
        MEMBER_SYNC_BYTES_PER_SECOND, MEMBERS_PER_MESSAGE, MIN_ASSIGNMENT_INTERVAL,
        MIN_HANDOVER_SYNC_INTERVAL, MIN_MEMBER_SYNC_INTERVAL, PROBE_INTERVAL, PROBE_TIMEOUT,
        READERS_PER_ZONE, RECONNECT_INTERVAL, RELAY_COUNT, RELAY_TIMEOUT, SUSPICION_TIMEOUT_BASE,
        SUSPICION_TIMEOUT_PER_DOUBLING, TRANSFER_TIMEOUT,
    },
};
use crate::{
    clock::{ClockTime, TimeSpan},
    feed::{BUCKET_COUNT, FeedKind},
    ids::NodeId,
};

impl ClusterMachine {
    pub(super) fn on_tick(&mut self, now: ClockTime) {
        self.expire_calls(now);
        if self.join.complete {
            self.probe_next(now);
        } else {
            self.probe_join_peers(now);
        }
        self.reconnect_one(now);
        self.declare_overdue_dead(now);
        self.assign_readers(now);
        self.start_reads(now);
    }

    /// Sends a probe to a node.
    pub(super) fn send_probe(&mut self, peer: &MemberRecord, purpose: CallPurpose, now: ClockTime) {
        let node = Some(&peer.node);
        let ask = GossipAsk::Probe;
        self.call(node, peer.address, ask, purpose, PROBE_TIMEOUT, now);
    }

    /// Handles a probe without a reply: asks other members to probe the target.
    pub(super) fn on_probe_failed(&mut self, target: &MemberRecord, now: ClockTime) {
        self.probes.record(now, false);
        let helpers = self
            .table
            .random_live(RELAY_COUNT, Some(&target.node), &mut self.rng);
        if helpers.is_empty() {
            self.suspect(&target.node, now);
            return;
        }
        self.pending_relays
            .insert(target.node.clone(), helpers.len());
        for helper in helpers {
            let ask = GossipAsk::Relay {
                node: target.node.clone(),
                address: target.address,
            };
            let purpose = CallPurpose::Relay(target.node.clone());
            let node = Some(&helper.node);
            self.call(node, helper.address, ask, purpose, RELAY_TIMEOUT, now);
        }
    }

    /// Handles the result of an indirect probe. A helper that did not reply
    /// counts as one that did not reach the target.
    pub(super) fn on_relay_result(&mut self, target: &NodeId, reached: bool, now: ClockTime) {
        let Some(outstanding) = self.pending_relays.get_mut(target) else {
            return;
        };
        *outstanding -= 1;
        if reached {
            self.pending_relays.remove(target);
        } else if *outstanding == 0 {
            self.pending_relays.remove(target);
            self.suspect(target, now);
        }
    }

    /// Requests the member records that differ from a peer's, at the rate that
    /// the bandwidth budget allows.
    pub(super) fn compare_tables(&mut self, peer: &MemberRecord, peer_digest: u64, now: ClockTime) {
        if peer_digest == self.table_digest() || now < self.next_member_sync_at {
            return;
        }
        // With many updates in flight, tables differ only temporarily.
        if self.members_synced && self.updates.len() > MEMBERS_PER_MESSAGE {
            return;
        }
        self.next_member_sync_at = now + self.jittered(MIN_MEMBER_SYNC_INTERVAL);
        let node = Some(&peer.node);
        let digests = self.table.buckets_with(&self.own);
        let ask = GossipAsk::Members { digests };
        let purpose = CallPurpose::Members;
        self.call(node, peer.address, ask, purpose, TRANSFER_TIMEOUT, now);
    }

    /// Delays the next comparison of tables in proportion to the size of the last
    /// one.
    pub(super) fn delay_next_member_sync(&mut self, members: usize, now: ClockTime) {
        let buckets = transfer_time(BUCKET_COUNT, DIGEST_BYTES, MEMBER_SYNC_BYTES_PER_SECOND);
        let records = transfer_time(members, MEMBER_BYTES, MEMBER_SYNC_BYTES_PER_SECOND);
        let span = MIN_MEMBER_SYNC_INTERVAL.max(buckets + records);
        self.next_member_sync_at = now + self.jittered(span);
    }

    /// Requests all handovers from a peer whose digest differs.
    pub(super) fn compare_handovers(
        &mut self,
        peer: &MemberRecord,
        peer_digest: u64,
        now: ClockTime,
    ) {
        if peer_digest == self.handovers.digest() || now < self.next_handover_sync_at {
            return;
        }
        let rate = HANDOVER_SYNC_BYTES_PER_SECOND;
        let span = transfer_time(self.handovers.len(), HANDOVER_BYTES, rate);
        self.next_handover_sync_at = now + self.jittered(span.max(MIN_HANDOVER_SYNC_INTERVAL));
        let node = Some(&peer.node);
        let ask = GossipAsk::Handovers;
        let purpose = CallPurpose::Handovers;
        self.call(node, peer.address, ask, purpose, TRANSFER_TIMEOUT, now);
    }

    /// Returns a random span between one and two times the given one.
    fn jittered(&mut self, span: TimeSpan) -> TimeSpan {
        span + TimeSpan::from_millis(self.rng.u64(0..=span.as_millis()))
    }

    fn suspect(&mut self, target: &NodeId, now: ClockTime) {
        let alive = |rank: super::MemberRank| rank.condition == MemberCondition::Alive;
        let member = self.table.get(target);
        if member.is_some_and(|state| alive(state.record.rank))
            && self
                .table
                .set_condition(target, MemberCondition::Suspect, now)
        {
            self.updates.push(target);
        }
    }

    fn probe_next(&mut self, now: ClockTime) {
        if now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now.max(self.next_probe_at + PROBE_INTERVAL);
        if let Some(target) = self.table.next_probe(&mut self.rng) {
            let purpose = CallPurpose::Probe(target.clone());
            self.send_probe(&target, purpose, now);
        }
    }

    /// Probes peers that have not yet replied since the start or the last pause.
    fn probe_join_peers(&mut self, now: ClockTime) {
        if self.calls.len() > JOIN_PEERS {
            return;
        }
        if let Some(target) = self.table.next_probe(&mut self.rng)
            && !self.join.has_replied(&target.node)
        {
            let purpose = CallPurpose::Probe(target.clone());
            self.send_probe(&target, purpose, now);
        }
        self.contact_seed(now);
    }

    /// Calls a random seed, unless a call to it is pending or it is a member that
    /// is not dead.
    fn contact_seed(&mut self, now: ClockTime) {
        let Some(seed) = self.rng.choice(&self.settings.seeds).copied() else {
            return;
        };
        let call_pending = self.calls.values().any(|call| call.address == seed);
        if call_pending || self.table.is_live_address(seed) {
            return;
        }
        let ask = GossipAsk::Probe;
        let purpose = CallPurpose::Reconnect;
        self.call(None, seed, ask, purpose, PROBE_TIMEOUT, now);
    }

    /// Calls a dead member or, if there is none, a seed, so that the sides of a
    /// network partition find each other after it heals.
    fn reconnect_one(&mut self, now: ClockTime) {
        if now < self.next_reconnect_at {
            return;
        }
        self.next_reconnect_at = now + RECONNECT_INTERVAL;
        self.table.forget_dead(now);
        self.expire_handovers(now);
        if let Some(target) = self.table.random_dead(&mut self.rng) {
            self.send_probe(&target, CallPurpose::Reconnect, now);
        } else if self.join.complete {
            self.contact_seed(now);
        }
    }

    /// Declares members dead whose suspicion timed out, unless this node itself
    /// seems to be cut off.
    fn declare_overdue_dead(&mut self, now: ClockTime) {
        if self.table.suspects() == 0 || !self.may_declare_dead(now) {
            return;
        }
        let doublings = u64::from((self.table.len() + 1).ilog2());
        let step = SUSPICION_TIMEOUT_PER_DOUBLING.as_millis() * doublings;
        let deadline = now - (SUSPICION_TIMEOUT_BASE + TimeSpan::from_millis(step));
        for node in self.table.overdue_suspects(deadline) {
            if self.table.set_condition(&node, MemberCondition::Dead, now) {
                self.updates.push(&node);
            }
        }
    }

    /// Whether a missing reply indicates a failure of the peer, not of this node's
    /// own network.
    fn may_declare_dead(&self, now: ClockTime) -> bool {
        self.probes.last_succeeded() && self.reaches_half(now)
    }

    fn expire_calls(&mut self, now: ClockTime) {
        let expired = self.calls.iter().filter(|(_, call)| call.expires_at <= now);
        let ids: Vec<_> = expired.map(|(id, _)| *id).collect();
        for id in ids {
            self.on_call_failed(id, now);
        }
    }

    /// Decides by rendezvous hashing whether this node is one of the readers of
    /// each feed in its availability zone.
    fn assign_readers(&mut self, now: ClockTime) {
        let changes = self.table.change_count();
        if self.assigned_for_changes == Some(changes) || now < self.next_assignment_at {
            return;
        }
        self.assigned_for_changes = Some(changes);
        self.next_assignment_at = now + MIN_ASSIGNMENT_INTERVAL;
        let zone = &self.own.zone;
        let peers = self.table.iter().filter(|state| state.record.zone == *zone);
        let active = peers.filter(|state| state.is_active());
        let hashes: Vec<u64> = active.map(|state| state.id_hash).collect();
        let own = rendezvous::text_hash(self.own.node.as_str());
        for kind in FeedKind::ALL {
            let key = rendezvous::text_hash(&format!("reader/{kind}/{zone}"));
            let own_score = rendezvous::score(key, own);
            let scores = hashes.iter().map(|hash| rendezvous::score(key, *hash));
            let better = scores.filter(|score| *score > own_score).count();
            let schedule = &mut self.feeds[kind.index()].schedule;
            schedule.assigned = better < READERS_PER_ZONE;
        }
    }

    fn start_reads(&mut self, now: ClockTime) {
        if self.own.rank.leaving {
            return;
        }
        let nodes = self.node_count();
        for kind in FeedKind::ALL {
            let tracker: &mut FeedTracker = &mut self.feeds[kind.index()];
            if let Some((after, wait)) = tracker.start_read(now, nodes, &mut self.rng) {
                let feed = kind;
                self.push_action(super::ClusterAction::ReadFeed { feed, after, wait });
            }
        }
    }
}

/// Time to transfer `count` items of `item_bytes` at a rate in bytes per second.
fn transfer_time(count: usize, item_bytes: u64, rate: u64) -> TimeSpan {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    TimeSpan::from_millis(count.saturating_mul(item_bytes * 1_000) / rate)
}
