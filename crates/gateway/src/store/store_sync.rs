use std::{net::SocketAddr, time::Duration};

use smol::{Task, Timer};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    fleet::{ReaderPlan, StartupState},
};

use super::StoreReader;
use crate::{
    peers::{FOLLOW_PATH, FollowRequest, ReplicaStatus, UpdateReply},
    process::Shared,
};

/// How long a followed node waits for changes before it replies. It limits how
/// long an unresponsive node goes undetected.
const FOLLOW_WAIT: TimeSpan = TimeSpan::from_millis(700);
/// Time for the transmission of the reply, in addition to `FOLLOW_WAIT`.
const REPLY_SLACK: TimeSpan = TimeSpan::from_millis(350);
/// Maximum age of the data of a followed node that counts as connected to the
/// store. It allows for the node's own watch of the store.
const MAX_DATA_AGE: TimeSpan = TimeSpan::from_millis(1_600);
/// Number of followed nodes that may fail to respond in a round before this node
/// starts to read the store while the round continues.
const MAX_UNRESPONSIVE: u32 = 1;
/// Interval at which a reader checks whether it still has the reader role.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a round in which no followed node was connected to the store.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of nodes that are asked in one round: the readers, and some of
/// their fallbacks.
const MAX_ROUND_SOURCES: usize = 6;
/// Number of these that are the same in each round. The rest rotate at random.
const FIXED_SOURCES: usize = 4;

/// Keeps this node up to date with the platform's store: by reading the store, or
/// by following nodes that read it.
#[derive(Debug)]
pub struct StoreSync {
    shared: Shared,
    started_at: ClockTime,
    reader: Option<Task<()>>,
}

/// Result of a call to a followed node.
enum FollowOutcome {
    Connected,
    Disconnected,
    Unresponsive,
}

impl StoreSync {
    /// Creates the synchronization. It reads nothing until it runs.
    #[must_use]
    pub fn new(shared: Shared) -> Self {
        Self {
            started_at: shared.now(),
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
            if let Some(reason) = plan.read_reason(&self.startup()) {
                self.start_reading(reason);
                Timer::after(ROLE_CHECK_INTERVAL).await;
                continue;
            }
            if !self.follow(&plan).await {
                Timer::after(RETRY_DELAY).await;
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

    /// Asks the nodes of a plan in order of preference, until one is connected to
    /// the store. Returns whether one was.
    async fn follow(&mut self, plan: &ReaderPlan) -> bool {
        let mut unresponsive = 0;
        for address in self.sources(plan) {
            match self.follow_node(address).await {
                FollowOutcome::Connected => {
                    self.stop_reading();
                    return true;
                }
                FollowOutcome::Disconnected => {}
                FollowOutcome::Unresponsive => unresponsive += 1,
            }
            if unresponsive > MAX_UNRESPONSIVE
                && plan.reads_as_fallback(&self.startup(), unresponsive)
            {
                self.start_reading("followed nodes do not respond");
            }
        }
        if plan.reads_as_fallback(&self.startup(), unresponsive) {
            self.start_reading("no followed node is connected to the store");
        }
        false
    }

    fn sources(&self, plan: &ReaderPlan) -> Vec<SocketAddr> {
        let fleet = self.shared.fleet.borrow();
        let known = plan
            .sources
            .iter()
            .filter_map(|node| fleet.address_of(node));
        let mut addresses: Vec<SocketAddr> = known.collect();
        if addresses.is_empty() || self.startup().is_starting() {
            let own = self.shared.profile.peer_address;
            let seeds = self.shared.profile.seeds.iter().copied();
            let seeds: Vec<SocketAddr> = seeds.filter(|seed| *seed != own).collect();
            addresses.retain(|address| !seeds.contains(address));
            addresses.splice(0..0, seeds);
        }
        if addresses.len() > FIXED_SOURCES {
            let rest = addresses.len() - FIXED_SOURCES;
            let rotation = usize::try_from(self.shared.random() % 64).unwrap_or_default();
            addresses[FIXED_SOURCES..].rotate_left(rotation % rest);
        }
        addresses.truncate(MAX_ROUND_SOURCES);
        addresses
    }

    async fn follow_node(&self, address: SocketAddr) -> FollowOutcome {
        let request = FollowRequest {
            holding: ReplicaStatus::of(&self.shared, self.shared.now()),
            wait: FOLLOW_WAIT,
        };
        let timeout = FOLLOW_WAIT + REPLY_SLACK;
        let peers = &self.shared.peers;
        let reply = peers.call::<_, UpdateReply>(address, FOLLOW_PATH, &request, timeout);
        let reply = reply.await;
        let result = if reply.is_ok() { "answered" } else { "failed" };
        let calls = &self.shared.metrics.peer_calls;
        calls.with_label_values(&["follow", result]).inc();
        match reply {
            Ok(reply) => {
                let is_fresh = reply.holding.age.is_some_and(|age| age <= MAX_DATA_AGE);
                let is_settled = reply.holding.is_settled;
                let source = address.to_string();
                let now = self.shared.now();
                reply.apply(&self.shared, &source, now);
                if is_fresh || !is_settled {
                    let mut connectivity = self.shared.store_connectivity.borrow_mut();
                    connectivity.record_source(is_settled, now);
                }
                if is_fresh {
                    FollowOutcome::Connected
                } else {
                    FollowOutcome::Disconnected
                }
            }
            Err(error) => {
                slog::debug!(self.shared.log, "news: Followed node did not answer.";
                    "peer" => %address, "error" => %error);
                FollowOutcome::Unresponsive
            }
        }
    }

    fn start_reading(&mut self, reason: &str) {
        if self.reader.is_some() {
            return;
        }
        slog::info!(self.shared.log, "news: Reads the store."; "reason" => reason);
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
    }
}
