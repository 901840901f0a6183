use std::{net::SocketAddr, time::Duration};

use futures_lite::StreamExt;
use futures_util::stream::FuturesUnordered;
use smol::{Task, Timer};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    fleet::{ReaderPlan, SourceList, SourceSearch, StartupState},
    ids::NodeId,
};

use super::StoreReader;
use crate::{
    peers::{
        FOLLOW_PATH, FollowRequest, PeerAck, PeerError, ReplicaStatus, STATUS_PATH, UpdateReply,
    },
    process::Shared,
    targets::within,
};

/// Interval at which a reader checks whether it still has the reader role.
const ROLE_CHECK_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Interval at which a node that reads the store as a fallback looks for one that
/// reads it in preference.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(400);

/// Keeps this node up to date with the platform's store: by reading the store, or
/// by following nodes that read it.
#[derive(Debug)]
pub struct StoreSync {
    shared: Shared,
    started_at: ClockTime,
    search: SourceSearch,
    reader: Option<Task<()>>,
}

/// What a call to another node shows of it.
enum SourceState {
    Connected,
    Disconnected,
    Unresponsive,
}

/// Result of a round in which no node was connected to the store.
#[derive(Default)]
struct FailedProbe {
    /// Number of nodes that did not respond.
    silent: u32,
    /// A node that nevertheless holds something newer.
    newer: Option<SocketAddr>,
}

impl StoreSync {
    /// Creates the synchronization. It reads nothing until it runs.
    #[must_use]
    pub fn new(shared: Shared) -> Self {
        Self {
            started_at: shared.now(),
            search: SourceSearch::default(),
            shared,
            reader: None,
        }
    }

    /// Reads the store or follows other nodes until the future is dropped.
    pub async fn run(mut self) {
        let first = (!self.startup().is_seed).then(|| {
            let reader = StoreReader::new(Shared::clone(&self.shared));
            self.shared.tasks.spawn_owned(reader.run_once())
        });
        // Keeps the handle, so that the first read is cancelled with this future.
        let _first = first;
        loop {
            let members = self
                .shared
                .fleet
                .borrow()
                .eligible_members(self.shared.now());
            let plan = ReaderPlan::new(&self.shared.profile.node, &members);
            let read_reason = plan.read_reason(&self.startup());
            if let Some(reason) = read_reason {
                self.start_reading(reason);
            }
            if self.connection_left().is_zero() {
                self.follow(&plan).await;
            } else if read_reason.is_some() {
                self.wait_while_connected().await;
            } else {
                self.hand_over(&plan).await;
            }
        }
    }

    /// Time for which this node counts as connected to the store.
    fn connection_left(&self) -> TimeSpan {
        ReplicaStatus::of(&self.shared, self.shared.now()).connection_left()
    }

    /// Waits until this node loses the store, or its role may have changed.
    async fn wait_while_connected(&self) {
        let lost = async {
            loop {
                let changed = self.shared.changed.listen();
                let left = self.connection_left();
                if left.is_zero() {
                    return;
                }
                within(left, changed).await;
            }
        };
        within(ROLE_CHECK_INTERVAL, lost).await;
    }

    /// Stops reading the store as a fallback once a node that reads it in preference is
    /// connected. If nodes gave way to any other, two could give way to each other.
    async fn hand_over(&mut self, plan: &ReaderPlan) {
        let preferred = self.sources(plan).preferred().to_vec();
        match self.probe(preferred).await {
            Ok(source) => {
                self.search.record_connected(source);
                self.stop_reading();
            }
            Err(_) => {
                Timer::after(HANDOVER_INTERVAL).await;
            }
        }
    }

    fn startup(&self) -> StartupState {
        let profile = &self.shared.profile;
        StartupState {
            is_seed: profile.seeds.contains(&profile.peer_address),
            has_seeds: !profile.seeds.is_empty(),
            uptime: self.shared.now().since(self.started_at),
        }
    }

    /// Waits for changes at the node that was connected to the store. If it no longer
    /// is, looks for another one, and reads the store if there is none.
    async fn follow(&mut self, plan: &ReaderPlan) {
        let sources = self.sources(plan);
        let mut unresponsive = 0;
        let source = self.search.source(&sources);
        if let Some(source) = source {
            match self.follow_node(source).await {
                SourceState::Connected => return self.keep_source(plan, source),
                SourceState::Disconnected => {}
                SourceState::Unresponsive => unresponsive += 1,
            }
        }
        match self.probe(sources.without(source)).await {
            Ok(other) => {
                slog::info!(self.shared.log, "news: Follows another node.";
                    "peer" => %other, "before" => source.map(|before| before.to_string()),
                    "unresponsive" => unresponsive);
                self.keep_source(plan, other);
            }
            Err(probe) => {
                self.search.record_failed_round();
                unresponsive += probe.silent;
                if self.search.reads_store(plan, &self.startup(), unresponsive) {
                    self.start_reading("no other node is connected to the store");
                }
                if let Some(newer) = probe.newer {
                    self.follow_node(newer).await;
                }
                Timer::after(Duration::from(self.search.pause())).await;
            }
        }
    }

    /// Follows a node from now on. A reader goes on reading the store as well.
    fn keep_source(&mut self, plan: &ReaderPlan, source: SocketAddr) {
        self.search.record_connected(source);
        if plan.read_reason(&self.startup()).is_none() {
            self.stop_reading();
        }
    }

    /// Asks nodes at once whether they are connected to the store. Returns the first
    /// that is.
    async fn probe(&self, nodes: Vec<SocketAddr>) -> Result<SocketAddr, FailedProbe> {
        let holding = ReplicaStatus::of(&self.shared, self.shared.now());
        let calls = nodes.into_iter().map(async |node| {
            let status = self.shared.peers.call::<_, ReplicaStatus>(
                node,
                STATUS_PATH,
                &PeerAck,
                SourceSearch::PROBE_TIMEOUT,
            );
            let status = within(SourceSearch::PROBE_TIMEOUT, status).await;
            let status = status.unwrap_or(Err(PeerError::Timeout));
            (node, status)
        });
        let mut calls: FuturesUnordered<_> = calls.collect();
        let mut failed = FailedProbe::default();
        while let Some((node, status)) = calls.next().await {
            match status {
                Ok(status) if status.is_connected() => return Ok(node),
                Ok(status) => {
                    if status.is_newer_than(&holding) {
                        failed.newer = Some(node);
                    }
                }
                Err(error) => {
                    failed.silent += 1;
                    slog::debug!(self.shared.log, "news: Node did not tell its status.";
                        "peer" => %node, "error" => %error);
                }
            }
        }
        Err(failed)
    }

    fn sources(&self, plan: &ReaderPlan) -> SourceList {
        let fleet = self.shared.fleet.borrow();
        let preferred_nodes = &plan.sources[..plan.preferred];
        let known = |nodes: &[NodeId]| -> Vec<SocketAddr> {
            let addresses = nodes.iter().filter_map(|node| fleet.address_of(node));
            addresses.collect()
        };
        let mut addresses = known(&plan.sources);
        let mut preferred = known(preferred_nodes).len();
        if addresses.is_empty() || self.startup().is_starting() {
            let own = self.shared.profile.peer_address;
            let seeds = self.shared.profile.seeds.iter().copied();
            let seeds: Vec<SocketAddr> = seeds.filter(|seed| *seed != own).collect();
            addresses.retain(|address| !seeds.contains(address));
            addresses.splice(0..0, seeds);
            preferred = addresses.len();
        }
        SourceList {
            addresses,
            preferred,
        }
    }

    /// Waits for changes at a node, and applies them.
    async fn follow_node(&self, address: SocketAddr) -> SourceState {
        let request = FollowRequest {
            holding: ReplicaStatus::of(&self.shared, self.shared.now()),
            wait: SourceSearch::LONG_POLL,
        };
        let timeout = SourceSearch::LONG_POLL_TIMEOUT;
        let peers = &self.shared.peers;
        let reply = peers.call::<_, UpdateReply>(address, FOLLOW_PATH, &request, timeout);
        let reply = within(timeout, reply).await;
        let reply = reply.unwrap_or(Err(PeerError::Timeout));
        let result = if reply.is_ok() { "answered" } else { "failed" };
        let calls = &self.shared.metrics.peer_calls;
        calls.with_label_values(&["follow", result]).inc();
        match reply {
            Ok(reply) => {
                let is_connected = reply.holding.is_connected();
                let is_settled = reply.holding.is_settled;
                let source = address.to_string();
                let now = self.shared.now();
                reply.apply(&self.shared, &source, now);
                if is_connected || !is_settled {
                    let mut connectivity = self.shared.store_connectivity.borrow_mut();
                    connectivity.record_source(is_settled, now);
                }
                if is_connected {
                    SourceState::Connected
                } else {
                    SourceState::Disconnected
                }
            }
            Err(error) => {
                slog::debug!(self.shared.log, "news: Followed node did not answer.";
                    "peer" => %address, "error" => %error);
                SourceState::Unresponsive
            }
        }
    }

    fn start_reading(&mut self, reason: &str) {
        if self.reader.is_some() {
            return;
        }
        slog::info!(self.shared.log, "news: Reads the store."; "reason" => reason);
        let mut connectivity = self.shared.store_connectivity.borrow_mut();
        connectivity.record_read_start();
        drop(connectivity);
        let reader = StoreReader::new(Shared::clone(&self.shared));
        self.reader = Some(self.shared.tasks.spawn_owned(reader.run()));
    }

    fn stop_reading(&mut self) {
        if self.reader.take().is_none() {
            return;
        }
        slog::info!(self.shared.log, "news: Follows others.");
        let now = self.shared.now();
        let mut connectivity = self.shared.store_connectivity.borrow_mut();
        connectivity.record_read_stop(now);
        drop(connectivity);
        // Nodes that wait for changes here look for another source.
        self.shared.changed.notify(usize::MAX);
    }
}
