use std::{collections::BTreeMap, net::SocketAddr};

use fastrand::Rng;

use super::{
    MemberCondition, MemberList, MemberRank, MemberRecord, ViewMember,
    member_state::{MemberState, record_digest},
    rendezvous,
    timings::DEAD_MEMBER_RETENTION,
};
use crate::{
    clock::ClockTime,
    feed::BucketDigests,
    ids::NodeId,
    protocol::{VmEntry, VmState},
};

/// All other nodes known to this node, from the membership list, from gossip
/// and from its own probes.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    members: BTreeMap<NodeId, MemberState>,
    probe_order: Vec<NodeId>,
    probe_cursor: usize,
    digest: u64,
    buckets: BucketDigests,
    listed: usize,
    dead: usize,
    suspects: usize,
    change_count: u64,
}

impl MemberTable {
    pub(super) fn get(&self, node: &NodeId) -> Option<&MemberState> {
        self.members.get(node)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &MemberState> {
        self.members.values()
    }

    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// Number of other nodes that the membership list names.
    pub(super) const fn listed(&self) -> usize {
        self.listed
    }

    /// Number of dead members.
    pub(super) const fn dead(&self) -> usize {
        self.dead
    }

    /// Number of suspect members.
    pub(super) const fn suspects(&self) -> usize {
        self.suspects
    }

    /// Digest over all member records and `own`. Suspicions and dead members are
    /// excluded, see [`record_digest`].
    pub(super) fn digest_with(&self, own: &MemberRecord) -> u64 {
        self.digest.wrapping_add(record_digest(own))
    }

    /// Bucket digests over all member records and `own`.
    pub(super) fn buckets_with(&self, own: &MemberRecord) -> BucketDigests {
        let mut buckets = self.buckets.clone();
        buckets.add(own.node.as_str(), record_digest(own));
        buckets
    }

    /// Returns all member records in the given buckets, which must be sorted.
    pub(super) fn records_in(&self, buckets: &[u8]) -> Vec<MemberRecord> {
        let selected = |record: &&MemberRecord| {
            let bucket = BucketDigests::bucket_of(record.node.as_str());
            buckets.binary_search(&bucket).is_ok()
        };
        let records = self.members.values().map(|state| &state.record);
        records.filter(selected).cloned().collect()
    }

    /// Whether the address belongs to a member that is not dead.
    pub(super) fn is_live_address(&self, address: SocketAddr) -> bool {
        let mut states = self.members.values();
        states.any(|state| state.record.address == address && !state.is_dead())
    }

    /// Builds the member list of a view, with `own` as this node's record.
    pub(super) fn member_list(&self, own: &MemberRecord) -> MemberList {
        let own_member = ViewMember::new(own, false);
        let mut live = Vec::new();
        let mut others = Vec::new();
        for state in self.members.values() {
            let leaving = state.listed == Some(VmState::Leaving);
            let member = ViewMember::new(&state.record, leaving);
            let place = if state.is_active() {
                &mut live
            } else {
                &mut others
            };
            place.push(member);
        }
        let place = if own.rank.leaving {
            &mut others
        } else {
            &mut live
        };
        let position = place.partition_point(|member| member.node < own.node);
        place.insert(position, own_member.clone());
        MemberList::new(&own_member, live, others, self.listed)
    }

    /// Number of changes so far that are visible in a view.
    pub(super) const fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Merges a member record. Returns whether it replaced the current one.
    pub(super) fn merge(&mut self, record: &MemberRecord, now: ClockTime, rng: &mut Rng) -> bool {
        let Some(state) = self.members.get_mut(&record.node) else {
            if record.rank.condition == MemberCondition::Dead {
                return false;
            }
            self.insert(record.clone(), None, now, rng);
            return true;
        };
        if record.rank <= state.record.rank {
            return false;
        }
        let before = record_digest(&state.record);
        let node = record.node.as_str();
        self.dead -= usize::from(state.is_dead());
        self.suspects -= usize::from(state.is_suspect());
        if state.record.rank.condition != record.rank.condition {
            state.condition_since = now;
        }
        state.record = record.clone();
        self.dead += usize::from(state.is_dead());
        self.suspects += usize::from(state.is_suspect());
        let after = record_digest(&state.record);
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
        self.buckets.subtract(node, before);
        self.buckets.add(node, after);
        self.change_count += 1;
        true
    }

    /// Raises the condition of a member. Returns whether it changed.
    pub(super) fn set_condition(
        &mut self,
        node: &NodeId,
        condition: MemberCondition,
        now: ClockTime,
    ) -> bool {
        let Some(state) = self.members.get(node) else {
            return false;
        };
        let mut record = state.record.clone();
        record.rank = record.rank.with_condition(condition);
        self.merge(&record, now, &mut Rng::with_seed(0))
    }

    /// Applies a node's entry in the membership list. Its address and zone count
    /// only until the node itself was heard from.
    pub(super) fn apply_listing(
        &mut self,
        node: &NodeId,
        entry: &VmEntry,
        now: ClockTime,
        rng: &mut Rng,
    ) {
        self.change_count += 1;
        if let Some(state) = self.members.get_mut(node) {
            self.listed += usize::from(state.listed.is_none());
            state.listed = Some(entry.state);
            if state.record.rank == MemberRank::default() {
                state.record.address = entry.address;
                state.record.zone = entry.zone.clone();
            }
            return;
        }
        self.listed += 1;
        let record = MemberRecord {
            node: node.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            rank: MemberRank::default(),
        };
        self.insert(record, Some(entry.state), now, rng);
    }

    /// Marks a node as no longer named by the membership list.
    pub(super) fn remove_listing(&mut self, node: &NodeId) {
        let Some(state) = self.members.get_mut(node) else {
            return;
        };
        self.change_count += 1;
        self.listed -= usize::from(state.listed.is_some());
        state.listed = None;
    }

    /// Returns the next member to probe, in a shuffled round-robin order that
    /// skips dead members.
    pub(super) fn next_probe(&mut self, rng: &mut Rng) -> Option<MemberRecord> {
        for _ in 0..=self.probe_order.len() {
            if self.probe_cursor >= self.probe_order.len() {
                self.probe_cursor = 0;
                rng.shuffle(&mut self.probe_order);
            }
            let node = self.probe_order.get(self.probe_cursor)?;
            self.probe_cursor += 1;
            let state = &self.members[node];
            if !state.is_dead() {
                return Some(state.record.clone());
            }
        }
        None
    }

    /// Returns up to `count` distinct random members that are alive.
    pub(super) fn random_live(
        &self,
        count: usize,
        excluding: Option<&NodeId>,
        rng: &mut Rng,
    ) -> Vec<MemberRecord> {
        let selected = |state: &MemberState| state.record.rank.condition == MemberCondition::Alive;
        self.sample(count, excluding, rng, selected)
    }

    /// Returns a random dead member.
    pub(super) fn random_dead(&self, rng: &mut Rng) -> Option<MemberRecord> {
        if self.dead == 0 {
            return None;
        }
        self.sample(1, None, rng, MemberState::is_dead).pop()
    }

    /// Returns the members that became suspect at or before `deadline`.
    pub(super) fn overdue_suspects(&self, deadline: ClockTime) -> Vec<NodeId> {
        let suspect =
            |state: &&MemberState| state.is_suspect() && state.condition_since <= deadline;
        let states = self.members.values().filter(suspect);
        states.map(|state| state.record.node.clone()).collect()
    }

    /// Restarts all suspicion timers, after a pause of this process.
    pub(super) fn restart_suspicion_timers(&mut self, now: ClockTime) {
        for state in self.members.values_mut() {
            state.condition_since = now;
        }
    }

    /// Removes members that have been dead for longer than the retention time
    /// and that the membership list does not name.
    pub(super) fn forget_dead(&mut self, now: ClockTime) {
        if self.dead == 0 {
            return;
        }
        let gone = |state: &&MemberState| {
            state.is_dead()
                && state.listed.is_none()
                && now.since(state.condition_since) > DEAD_MEMBER_RETENTION
        };
        let states = self.members.values().filter(gone);
        let nodes: Vec<NodeId> = states.map(|state| state.record.node.clone()).collect();
        for node in nodes {
            self.remove(&node);
        }
    }

    fn sample<F>(
        &self,
        count: usize,
        excluding: Option<&NodeId>,
        rng: &mut Rng,
        selected: F,
    ) -> Vec<MemberRecord>
    where
        F: Fn(&MemberState) -> bool,
    {
        let length = self.probe_order.len();
        if length == 0 {
            return Vec::new();
        }
        let start = rng.usize(0..length);
        let stride = coprime_stride(length, rng);
        (0..length)
            .map(|step| &self.probe_order[(start + step * stride) % length])
            .filter(|node| Some(*node) != excluding)
            .map(|node| &self.members[node])
            .filter(|state| selected(state))
            .take(count)
            .map(|state| state.record.clone())
            .collect()
    }

    fn insert(
        &mut self,
        record: MemberRecord,
        listed: Option<VmState>,
        now: ClockTime,
        rng: &mut Rng,
    ) {
        self.change_count += 1;
        self.suspects += usize::from(record.rank.condition == MemberCondition::Suspect);
        let digest = record_digest(&record);
        self.digest = self.digest.wrapping_add(digest);
        self.buckets.add(record.node.as_str(), digest);
        let place = rng.usize(0..=self.probe_order.len());
        self.probe_order.insert(place, record.node.clone());
        let node = record.node.clone();
        let state = MemberState {
            id_hash: rendezvous::text_hash(node.as_str()),
            record,
            listed,
            condition_since: now,
        };
        self.members.insert(node, state);
    }

    fn remove(&mut self, node: &NodeId) {
        if let Some(state) = self.members.remove(node) {
            self.change_count += 1;
            self.dead -= usize::from(state.is_dead());
            let digest = record_digest(&state.record);
            self.digest = self.digest.wrapping_sub(digest);
            self.buckets.subtract(node.as_str(), digest);
            self.probe_order.retain(|other| other != node);
        }
    }
}

/// Returns a random stride coprime to `length`, so that stepping by it visits
/// each of `length` positions once.
fn coprime_stride(length: usize, rng: &mut Rng) -> usize {
    let common = |mut a: usize, mut b: usize| {
        while b != 0 {
            (a, b) = (b, a % b);
        }
        a
    };
    loop {
        let stride = rng.usize(1..=length);
        if common(stride, length) == 1 {
            return stride;
        }
    }
}
