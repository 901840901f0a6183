//! Feed reads from the platform, and exchange of feed changes with peers.

use super::{
    ClusterAction, ClusterMachine, ClusterNote, FeedState, GossipAnswer, GossipAsk, MemberRecord,
    pending_call::CallPurpose,
    timings::{
        MIN_REPAIR_INTERVAL, REPAIR_BYTES, REPAIR_DIGESTS, TRANSFER_BYTES, TRANSFER_TIMEOUT,
    },
};
use crate::{
    clock::{ClockTime, TimeSpan},
    feed::{
        BucketDigests, FeedChange, FeedDelta, FeedError, FeedItem, FeedKind, RepairFetch,
        RepairItems, RepairList, RepairPlan,
    },
    ids::{NodeId, RevisionNumber},
    protocol::{FeedPage, VmEntry, VmRole},
};

/// Prefix of the keys of the membership list.
const VM_PREFIX: &str = "vms/";

impl ClusterMachine {
    pub(super) fn on_feed_read(&mut self, feed: FeedKind, page: &FeedPage, now: ClockTime) {
        let tracker = &mut self.feeds[feed.index()];
        let Some(mut reading) = tracker.read.take() else {
            return;
        };
        tracker.read_attempted = true;
        let empty = page.entries.is_empty();
        let confirmed_at = reading.confirmed_at(now, empty);
        if !reading.assembly.push_page(page) {
            let after = reading.assembly.cursor();
            let wait = TimeSpan::ZERO;
            reading.started = now;
            reading.wait = wait;
            tracker.read = Some(reading);
            self.push_action(ClusterAction::ReadFeed { feed, after, wait });
            return;
        }
        if page.revision >= tracker.replica.revision() {
            tracker.confirm(confirmed_at);
        }
        tracker.schedule.record_success(now, reading.started);
        let result = tracker.replica.apply_assembly(&reading.assembly);
        self.finish_change(feed, result, now);
    }

    pub(super) fn on_feed_failed(&mut self, feed: FeedKind, now: ClockTime) {
        let tracker = &mut self.feeds[feed.index()];
        let Some(reading) = tracker.read.take() else {
            return;
        };
        tracker.read_attempted = true;
        if reading.is_cut(now) {
            tracker.schedule.record_cut(now, &mut self.rng);
        } else {
            tracker.schedule.record_failure(now, &mut self.rng);
        }
    }

    /// Pulls, pushes or repairs each feed according to the versions that a peer
    /// stated in a reply.
    pub(super) fn compare_feeds(
        &mut self,
        peer: &MemberRecord,
        states: &[FeedState; 2],
        now: ClockTime,
    ) {
        for (feed, state) in FeedKind::ALL.into_iter().zip(states) {
            let own_version = self.feeds[feed.index()].replica.version();
            if state.version.revision > own_version.revision {
                self.pull(feed, own_version.revision, peer, now);
            } else if state.version.revision < own_version.revision {
                self.push(feed, state, peer, now);
            } else if state.version.digest != own_version.digest {
                self.compare(feed, peer, now);
            }
        }
    }

    /// Applies a delta that was pushed by a peer or piggybacked on its reply.
    /// Pulls the changes instead if the delta is incomplete.
    pub(super) fn on_delta(
        &mut self,
        feed: FeedKind,
        delta: &FeedDelta,
        peer: &MemberRecord,
        now: ClockTime,
    ) {
        let tracker = &mut self.feeds[feed.index()];
        tracker.cancel_expected_push(now);
        if tracker.pull.is_some() {
            return;
        }
        if delta.more || delta.after > tracker.replica.revision() {
            let after = tracker.replica.revision();
            self.pull(feed, after, peer, now);
            return;
        }
        let result = tracker.replica.apply_delta(delta);
        self.finish_delta(feed, result, peer, now);
    }

    /// Adds a part of a pull, and applies the changes once they are complete.
    pub(super) fn on_pulled(
        &mut self,
        feed: FeedKind,
        delta: FeedDelta,
        peer: &MemberRecord,
        now: ClockTime,
    ) {
        let tracker = &mut self.feeds[feed.index()];
        match tracker.add_part(delta) {
            Ok(whole) => {
                let result = tracker.replica.apply_delta(&whole);
                self.finish_delta(feed, result, peer, now);
            }
            Err(cursor) => self.call_pull(feed, cursor, peer, now),
        }
    }

    pub(super) fn answer_compare(&self, feed: FeedKind, digests: &BucketDigests) -> GossipAnswer {
        let replica = &self.feeds[feed.index()].replica;
        GossipAnswer::Listed(replica.list_differences(digests, REPAIR_DIGESTS))
    }

    pub(super) fn answer_fetch(&mut self, feed: FeedKind, fetch: &RepairFetch) -> GossipAnswer {
        let replica = &mut self.feeds[feed.index()].replica;
        match replica.answer_fetch(fetch, REPAIR_BYTES) {
            Ok((items, change)) => {
                self.publish(feed, &change);
                GossipAnswer::Fetched(items)
            }
            Err(error) => {
                self.refuse(feed, &error);
                GossipAnswer::Done
            }
        }
    }

    pub(super) fn on_listed(
        &mut self,
        feed: FeedKind,
        list: &RepairList,
        peer: &MemberRecord,
        now: ClockTime,
    ) {
        let plan = self.feeds[feed.index()]
            .replica
            .plan_repair(list, REPAIR_BYTES);
        let ask = GossipAsk::Fetch {
            feed,
            fetch: plan.fetch.clone(),
        };
        let purpose = CallPurpose::Fetch(feed, plan);
        let node = Some(&peer.node);
        self.call(node, peer.address, ask, purpose, TRANSFER_TIMEOUT, now);
    }

    pub(super) fn on_fetched(&mut self, feed: FeedKind, plan: &RepairPlan, items: &RepairItems) {
        let replica = &mut self.feeds[feed.index()].replica;
        match replica.apply_repair(plan, items) {
            Ok(change) => self.publish(feed, &change),
            Err(error) => self.refuse(feed, &error),
        }
    }

    fn finish_delta(
        &mut self,
        feed: FeedKind,
        result: Result<FeedChange, FeedError>,
        peer: &MemberRecord,
        now: ClockTime,
    ) {
        let needs_repair = result.as_ref().is_ok_and(|change| change.needs_repair);
        self.finish_change(feed, result, now);
        if needs_repair {
            self.compare(feed, peer, now);
        }
    }

    fn finish_change(
        &mut self,
        feed: FeedKind,
        result: Result<FeedChange, FeedError>,
        now: ClockTime,
    ) {
        match result {
            Ok(change) => self.publish(feed, &change),
            Err(error) => {
                self.refuse(feed, &error);
                let tracker = &mut self.feeds[feed.index()];
                tracker.schedule.record_failure(now, &mut self.rng);
            }
        }
    }

    fn refuse(&mut self, feed: FeedKind, error: &FeedError) {
        let reason = error.to_string();
        self.push_note(ClusterNote::FeedRefused { feed, reason });
    }

    /// Publishes a change to the other components of the node, and announces it
    /// to peers.
    fn publish(&mut self, feed: FeedKind, change: &FeedChange) {
        if change.is_empty() {
            return;
        }
        self.schedule_announcement();
        if feed == FeedKind::Vms {
            self.update_listing(change);
        }
        let replica = &self.feeds[feed.index()].replica;
        let items = change.keys.iter().map(|key| {
            let deleted = || FeedItem {
                key: std::sync::Arc::clone(key),
                revision: replica.revision(),
                value: None,
            };
            replica.get(key).cloned().unwrap_or_else(deleted)
        });
        let items = items.collect();
        let version = replica.version();
        self.push_action(ClusterAction::FeedChanged {
            feed,
            version,
            items,
        });
    }

    /// Applies changes of the membership list to the member table.
    fn update_listing(&mut self, change: &FeedChange) {
        for key in &change.keys {
            let name = key.strip_prefix(VM_PREFIX).map(NodeId::new);
            let Some(Ok(node)) = name else {
                continue;
            };
            if node == self.own.node {
                continue;
            }
            match self.listed_node(key) {
                Some(entry) => {
                    let now = self.now();
                    self.table.apply_listing(&node, &entry, now, &mut self.rng);
                }
                None => self.table.remove_listing(&node),
            }
        }
    }

    /// Returns the membership list entry of a key, if it describes a node.
    fn listed_node(&self, key: &str) -> Option<VmEntry> {
        let item = self.feeds[FeedKind::Vms.index()].replica.get(key)?;
        let value = item.value.as_deref()?;
        let entry: VmEntry = serde_json::from_slice(value).ok()?;
        (entry.role == VmRole::Node).then_some(entry)
    }

    fn pull(&mut self, feed: FeedKind, after: RevisionNumber, peer: &MemberRecord, now: ClockTime) {
        let tracker = &mut self.feeds[feed.index()];
        if tracker.pull.is_some() {
            return;
        }
        tracker.start_pull(after);
        self.call_pull(feed, after, peer, now);
    }

    fn call_pull(
        &mut self,
        feed: FeedKind,
        after: RevisionNumber,
        peer: &MemberRecord,
        now: ClockTime,
    ) {
        let ask = GossipAsk::Pull { feed, after };
        let purpose = CallPurpose::Pull(feed);
        let node = Some(&peer.node);
        self.call(node, peer.address, ask, purpose, TRANSFER_TIMEOUT, now);
    }

    fn push(&mut self, feed: FeedKind, state: &FeedState, peer: &MemberRecord, now: ClockTime) {
        if state.awaiting {
            return;
        }
        let replica = &self.feeds[feed.index()].replica;
        let delta = replica.delta_after(state.version.revision, TRANSFER_BYTES);
        let ask = GossipAsk::Push { feed, delta };
        let node = Some(&peer.node);
        let purpose = CallPurpose::Push;
        self.call(node, peer.address, ask, purpose, TRANSFER_TIMEOUT, now);
    }

    fn compare(&mut self, feed: FeedKind, peer: &MemberRecord, now: ClockTime) {
        let tracker = &mut self.feeds[feed.index()];
        if now < tracker.next_repair_at || tracker.pull.is_some() {
            return;
        }
        tracker.next_repair_at = now + MIN_REPAIR_INTERVAL;
        let digests = tracker.replica.digests().clone();
        let ask = GossipAsk::Compare { feed, digests };
        let purpose = CallPurpose::Compare(feed);
        let node = Some(&peer.node);
        self.call(node, peer.address, ask, purpose, TRANSFER_TIMEOUT, now);
    }
}
