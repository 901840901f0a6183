use std::{collections::BTreeMap, mem, net::SocketAddr, sync::Arc};

use fastrand::Rng;

use super::{
    CallId, ClusterAction, ClusterEvent, ClusterNote, ClusterSettings, GossipAsk, GossipCall,
    HandoverRecord, MemberCondition, MemberList, MemberRank, MemberRecord,
    feed_tracker::FeedTracker,
    handover_table::HandoverTable,
    join_state::JoinState,
    member_table::MemberTable,
    pending_call::{CallPurpose, PendingCall},
    probe_window::ProbeWindow,
    timings::{
        ANNOUNCEMENT_FANOUT, FIRST_READ_SPREAD_PER_SEED_MS, HANDOVER_LIFETIME,
        MIN_ANNOUNCEMENT_INTERVAL,
    },
    update_queue::UpdateQueue,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    feed::{FeedKind, FeedReplica},
    ids::{IncarnationNumber, NodeId},
};

/// State machine for membership and for the dissemination of feeds.
///
/// Takes events and the current time, and returns actions. All random choices
/// derive from the seed in the settings, so a run can be reproduced.
#[derive(Clone, Debug)]
pub struct ClusterMachine {
    pub(super) settings: ClusterSettings,
    pub(super) own: MemberRecord,
    pub(super) rng: Rng,
    pub(super) table: MemberTable,
    pub(super) updates: UpdateQueue,
    pub(super) handovers: HandoverTable,
    pub(super) feeds: [FeedTracker; 2],
    pub(super) probes: ProbeWindow,
    pub(super) join: JoinState,
    pub(super) calls: BTreeMap<CallId, PendingCall>,
    /// Number of outstanding indirect probes of each member.
    pub(super) pending_relays: BTreeMap<NodeId, usize>,
    pub(super) next_probe_at: ClockTime,
    pub(super) next_reconnect_at: ClockTime,
    pub(super) next_member_sync_at: ClockTime,
    /// Whether tables were compared with a peer since the start.
    pub(super) members_synced: bool,
    pub(super) next_handover_sync_at: ClockTime,
    /// Change count of the table at the last reader assignment.
    pub(super) assigned_for_changes: Option<u64>,
    pub(super) next_assignment_at: ClockTime,
    next_announcement_at: ClockTime,
    announcement_pending: bool,
    /// Whether a later incarnation of this node is known.
    pub(super) superseded: bool,
    next_call: u64,
    pub(super) last_event: ClockTime,
    last_tick: ClockTime,
    /// The last member list, with the change count for which it was built.
    pub(super) cached_list: Option<(u64, Arc<MemberList>)>,
    pub(super) handover_changes: u64,
    actions: Vec<ClusterAction>,
}

impl ClusterMachine {
    /// Creates the machine of a node whose process starts at `now`.
    #[must_use]
    pub fn new(mut settings: ClusterSettings, now: ClockTime) -> Self {
        settings.seeds.retain(|seed| *seed != settings.address);
        let mut rng = Rng::with_seed(settings.rng_seed);
        let seed_count = u64::try_from(settings.seeds.len()).unwrap_or(u64::MAX);
        let spread = seed_count
            .saturating_mul(FIRST_READ_SPREAD_PER_SEED_MS)
            .clamp(1, 2_000);
        let first_read = TimeSpan::from_millis(rng.u64(0..spread));
        let tracker = |kind| FeedTracker::new(kind, settings.limits, now, first_read);
        let own = MemberRecord {
            node: settings.node.clone(),
            address: settings.address,
            zone: settings.zone.clone(),
            rank: MemberRank {
                incarnation: settings.incarnation,
                ..MemberRank::default()
            },
        };
        let mut updates = UpdateQueue::default();
        updates.push(&own.node);
        Self {
            feeds: FeedKind::ALL.map(tracker),
            settings,
            own,
            rng,
            table: MemberTable::default(),
            updates,
            handovers: HandoverTable::default(),
            probes: ProbeWindow::default(),
            join: JoinState::new(now, false),
            calls: BTreeMap::new(),
            pending_relays: BTreeMap::new(),
            next_probe_at: now,
            next_reconnect_at: now,
            next_member_sync_at: now,
            members_synced: false,
            next_handover_sync_at: now,
            assigned_for_changes: None,
            next_assignment_at: now,
            next_announcement_at: now,
            announcement_pending: false,
            superseded: false,
            next_call: 0,
            last_event: now,
            last_tick: now,
            cached_list: None,
            handover_changes: 0,
            actions: Vec::new(),
        }
    }

    /// Processes an event and returns the actions to perform.
    pub fn handle(&mut self, event: ClusterEvent, now: ClockTime) -> Vec<ClusterAction> {
        self.notice_pause(now);
        match event {
            ClusterEvent::Tick => {
                self.last_tick = now;
                self.on_tick(now);
            }
            ClusterEvent::Call { token, call } => self.on_call(token, *call, now),
            ClusterEvent::Reply { id, reply } => self.on_reply(id, *reply, now),
            ClusterEvent::CallFailed { id } => self.on_call_failed(id, now),
            ClusterEvent::FeedRead { feed, page } => self.on_feed_read(feed, &page, now),
            ClusterEvent::FeedFailed { feed } => self.on_feed_failed(feed, now),
            ClusterEvent::Leave => self.on_leave(),
            ClusterEvent::HandOver {
                successor,
                incarnation,
            } => self.on_hand_over(successor, incarnation, now),
        }
        self.update_join(now);
        self.announce_changes(now);
        mem::take(&mut self.actions)
    }

    /// Returns this node's replica of a feed.
    #[must_use]
    pub const fn replica(&self, feed: FeedKind) -> &FeedReplica {
        &self.feeds[feed.index()].replica
    }

    /// Whether the node is one of its availability zone's assigned readers of a
    /// feed.
    #[must_use]
    pub const fn is_reader(&self, feed: FeedKind) -> bool {
        self.feeds[feed.index()].schedule.assigned
    }

    /// Time of the most recent tick.
    #[must_use]
    pub const fn last_tick(&self) -> ClockTime {
        self.last_tick
    }

    /// Incarnation of this node's process.
    #[must_use]
    pub const fn incarnation(&self) -> IncarnationNumber {
        self.own.rank.incarnation
    }

    /// Node and incarnation that took over the tickets of a stopped process, if
    /// a handover is known.
    #[must_use]
    pub fn successor(
        &self,
        node: &NodeId,
        incarnation: IncarnationNumber,
    ) -> Option<&(NodeId, IncarnationNumber)> {
        self.handovers.successor(node, incarnation)
    }

    /// Time of the most recent event.
    pub(super) const fn now(&self) -> ClockTime {
        self.last_event
    }

    /// Cluster size including this node, counted by the membership list or, if
    /// that names no other node, by the known members.
    pub(super) fn node_count(&self) -> usize {
        let listed = self.table.listed();
        let others = if listed > 0 { listed } else { self.table.len() };
        others + 1
    }

    pub(super) fn push_action(&mut self, action: ClusterAction) {
        self.actions.push(action);
    }

    pub(super) fn push_note(&mut self, note: ClusterNote) {
        self.push_action(ClusterAction::Note(note));
    }

    /// Schedules an immediate announcement of a change to random peers.
    pub(super) fn schedule_announcement(&mut self) {
        self.announcement_pending = true;
    }

    /// Sends a call to another node. `peer` is `None` for a seed, which is known
    /// by its address only.
    pub(super) fn call(
        &mut self,
        peer: Option<&NodeId>,
        address: SocketAddr,
        ask: GossipAsk,
        purpose: CallPurpose,
        timeout: TimeSpan,
        now: ClockTime,
    ) {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let doubt = peer.and_then(|node| self.doubt_of(node));
        let call = GossipCall {
            from: self.own.clone(),
            doubt,
            table: self.table_digest(),
            facts: self.handovers.digest(),
            feeds: [self.feeds[0].state(now), self.feeds[1].state(now)],
            members: self.take_updates(&[]),
            handovers: self.handovers.take(self.send_limit(), now),
            ask,
        };
        let pending = PendingCall {
            address,
            started: now,
            expires_at: now + timeout,
            purpose,
        };
        self.calls.insert(id, pending);
        self.push_action(ClusterAction::Call {
            id,
            address,
            timeout,
            call: Box::new(call),
        });
    }

    /// The rank held for a member that is not considered alive.
    pub(super) fn doubt_of(&self, node: &NodeId) -> Option<MemberRank> {
        let rank = self.table.get(node)?.record.rank;
        (rank.condition != MemberCondition::Alive).then_some(rank)
    }

    /// Digest over all member records, this node's own included.
    pub(super) fn table_digest(&self) -> u64 {
        self.table.digest_with(&self.own)
    }

    /// Records that a later incarnation of this node exists. This process stops
    /// accepting requests, since peers address the later one.
    pub(super) fn mark_superseded(&mut self) {
        if !self.superseded {
            self.push_note(ClusterNote::Superseded);
        }
        self.superseded = true;
    }

    /// Merges handover records and announces those that are new.
    pub(super) fn merge_handovers(&mut self, records: &[HandoverRecord], now: ClockTime) {
        for record in records {
            if self.handovers.merge(record, now) {
                self.handover_changes += 1;
                self.schedule_announcement();
            }
        }
    }

    /// Removes expired handover records.
    pub(super) fn expire_handovers(&mut self, now: ClockTime) {
        if self.handovers.expire(now) {
            self.handover_changes += 1;
        }
    }

    fn on_leave(&mut self) {
        self.own.rank.leaving = true;
        let node = self.own.node.clone();
        self.updates.push(&node);
        self.schedule_announcement();
    }

    fn on_hand_over(&mut self, successor: NodeId, incarnation: IncarnationNumber, now: ClockTime) {
        let record = HandoverRecord {
            node: self.own.node.clone(),
            incarnation: self.own.rank.incarnation,
            successor,
            successor_incarnation: incarnation,
            expires_in: HANDOVER_LIFETIME,
        };
        self.merge_handovers(&[record], now);
    }

    fn announce_changes(&mut self, now: ClockTime) {
        if !self.announcement_pending || now < self.next_announcement_at {
            return;
        }
        self.announcement_pending = false;
        self.next_announcement_at = now + MIN_ANNOUNCEMENT_INTERVAL;
        let peers = self
            .table
            .random_live(ANNOUNCEMENT_FANOUT, None, &mut self.rng);
        for peer in peers {
            self.send_probe(&peer, CallPurpose::Announce, now);
        }
    }
}
