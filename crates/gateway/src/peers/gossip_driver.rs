use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use fastrand::Rng;
use smol::Timer;
use verbenahub_core::{
    clock::TimeSpan,
    fleet::GossipSchedule,
    ids::{NodeId, TargetId},
    staging::ShardMap,
};

use super::{GOSSIP_PATH, GossipMessage, GossipReply, PeerError};
use crate::{process::Shared, targets::within};

/// Timeout of a gossip exchange.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_millis(800);

/// Exchanges members, configuration and targets with other gateways.
#[derive(Debug)]
pub struct GossipDriver {
    shared: Shared,
    seeds: Vec<SocketAddr>,
    rng: Rng,
    rounds: u64,
    /// Whether this node has announced itself to the previous collectors.
    is_announced: bool,
}

impl GossipDriver {
    /// Creates the driver. The node's own address is removed from the seeds.
    #[must_use]
    pub fn new(shared: Shared) -> Self {
        let own = shared.profile.peer_address;
        let seeds = shared.profile.seeds.iter().copied();
        Self {
            seeds: seeds.filter(|seed| *seed != own).collect(),
            rng: Rng::with_seed(shared.random()),
            shared,
            rounds: 0,
            is_announced: false,
        }
    }

    /// Runs gossip rounds until the future is dropped.
    pub async fn run(mut self) {
        within(
            self.shared.gossip_schedule.activation_timeout(),
            self.wait_until_active(),
        )
        .await;
        loop {
            self.handle_suspension();
            let members = self
                .shared
                .fleet
                .borrow_mut()
                .start_round(self.shared.now());
            let others = i64::try_from(members.len()).unwrap_or(i64::MAX);
            self.shared.metrics.members.set(others);
            if self
                .shared
                .gossip_schedule
                .is_past_startup(self.shared.now())
            {
                self.shared.update_retry_reserve(members.len());
            }
            self.shared.crash_reporter.redeliver(&self.shared);
            self.shared.permits.observe_all_owners(&self.shared);
            self.shared.publish_coldness("elapsed");
            if let Some((node, address)) = self.next_peer() {
                self.exchange(node, address).await;
            }
            if !self.is_announced && self.shared.fleet.borrow().knows_established_member() {
                self.is_announced = true;
                self.announce().await;
            }
            self.rounds += 1;
            let now = self.shared.now();
            let is_current = self.shared.store_connectivity.borrow().is_current(now);
            let is_up_to_date = is_current && self.shared.is_ready();
            let interval = self.shared.gossip_schedule.interval(is_up_to_date, now);
            let jitter = 0.75 + self.rng.f64() * 0.5;
            Timer::after(Duration::from(interval).mul_f64(jitter)).await;
        }
    }

    /// Waits until this node takes part in shared work, such as collecting.
    async fn wait_until_active(&self) {
        loop {
            let changed = self.shared.changed.listen();
            if self.shared.fleet.borrow().own().active {
                return;
            }
            changed.await;
        }
    }

    /// Gossips with the previous collectors of the stages that this node collects
    /// for, so that the one whose work moves here hands it over at once.
    async fn announce(&self) {
        for node in self.previous_collectors() {
            let address = self.shared.fleet.borrow().address_of(&node);
            if let Some(address) = address {
                self.exchange(Some(node), address).await;
            }
        }
    }

    /// Returns the nodes that collect, while this node is not a member, for the
    /// stages that it collects for as a member.
    fn previous_collectors(&self) -> BTreeSet<NodeId> {
        let Some(config) = self.shared.config() else {
            return BTreeSet::new();
        };
        let own = &self.shared.profile.node;
        let members = self
            .shared
            .fleet
            .borrow()
            .eligible_members(self.shared.now());
        let mut others = members.clone();
        others.retain(|(node, _)| node != own);
        let owners = config.stage_services().flat_map(|service| {
            let targets = self.shared.ready_targets(service);
            let ids: Vec<TargetId> = targets.iter().map(|record| record.id.clone()).collect();
            let is_collector =
                ShardMap::new(service, &ids, &members, ShardMap::STAGE_TARGETS_PER_OWNER)
                    .owners()
                    .contains(own);
            let previous = is_collector
                .then(|| ShardMap::new(service, &ids, &others, ShardMap::STAGE_TARGETS_PER_OWNER));
            previous.map_or_else(Vec::new, |shards| shards.owners().to_vec())
        });
        owners.collect()
    }

    fn next_peer(&mut self) -> Option<(Option<NodeId>, SocketAddr)> {
        let other = self.shared.fleet.borrow().random_peer(&mut self.rng);
        let wants_seed = other.is_none() || GossipSchedule::is_seed_round(self.rounds);
        if wants_seed && !self.seeds.is_empty() {
            let index = self.rng.usize(0..self.seeds.len());
            return Some((None, self.seeds[index]));
        }
        other.map(|(node, address)| (Some(node), address))
    }

    async fn exchange(&self, node: Option<NodeId>, address: SocketAddr) {
        let own = GossipMessage::of(&self.shared, self.shared.now());
        let peers = &self.shared.peers;
        let reply = peers.call(address, GOSSIP_PATH, &own, ANSWER_TIMEOUT).await;
        let end = if reply.is_ok() { "answered" } else { "failed" };
        let calls = &self.shared.metrics.peer_calls;
        calls.with_label_values(&["gossip", end]).inc();
        match reply {
            Ok(reply) => self.apply_reply(reply, address),
            Err(error) => self.record_failure(node, address, &error),
        }
    }

    fn apply_reply(&self, reply: GossipReply, address: SocketAddr) {
        let now = self.shared.now();
        self.shared.fleet.borrow_mut().merge(reply.members, now);
        reply.news.apply(&self.shared, &address.to_string(), now);
    }

    fn record_failure(&self, node: Option<NodeId>, address: SocketAddr, error: &PeerError) {
        slog::debug!(self.shared.log, "peers: No answer to gossip.";
            "peer" => %address, "error" => %error);
        if let Some(node) = node {
            let now = self.shared.now();
            self.shared
                .fleet
                .borrow_mut()
                .record_unreachable(&node, now);
        }
    }

    /// After a suspension of the VM, data read before it no longer counts as
    /// current, and connections may have died without notice.
    fn handle_suspension(&self) {
        if let Some(pause) = self.shared.clock.take_suspension() {
            slog::warn!(self.shared.log, "clock: The VM was suspended."; "for" => %pause);
            self.shared.store_connectivity.borrow_mut().record_pause();
            self.shared.idle_connections.clear();
            self.shared.peers.clear();
        }
    }
}
