use std::{net::SocketAddr, time::Duration};

use smol::{Task, Timer};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    fleet::{ReaderPlan, StartupState},
};

use super::StoreReader;
use crate::{
    peers::{FOLLOW_PATH, FollowAsk, HoldingNote, NewsReply},
    process::Shared,
};

/// How long a followed node waits for news. Bounds the time for which its
/// silence goes unnoticed.
const FOLLOW_WAIT: TimeSpan = TimeSpan::from_millis(700);
/// Time added to it for the answer's way.
const ANSWER_SLACK: TimeSpan = TimeSpan::from_millis(350);
/// Age up to which a followed node counts as in contact: its own wait for the
/// store.
const AGE_LIMIT: TimeSpan = TimeSpan::from_millis(1_600);
/// Followed nodes that may be silent before the store is asked meanwhile.
const SILENT_LIMIT: u32 = 1;
/// Interval at which a reader looks whether it still is one.
const ROLE_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between rounds in which no followed node was in contact.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Followed nodes that are asked in one round: the readers, and some of those
/// that stand in for them.
const ROUND_SOURCES: usize = 6;
/// Of these, the ones that are always asked.
const FIRST_SOURCES: usize = 4;

/// Learns what the platform's store holds: by reading it, or from the nodes
/// that do.
#[derive(Debug)]
pub struct StoreSync {
    shared: Shared,
    started: ClockTime,
    reader: Option<Task<()>>,
}

/// What a followed node has said.
enum FollowEnd {
    InContact,
    OutOfContact,
    Silent,
}

impl StoreSync {
    /// Creates the driver. Nothing is read before it runs.
    #[must_use]
    pub fn new(shared: Shared) -> Self {
        Self {
            started: shared.now(),
            shared,
            reader: None,
        }
    }

    /// Reads or follows until the future is dropped.
    pub async fn run(mut self) {
        let first = (!self.start().is_seed).then(|| {
            let reader = StoreReader::new(Shared::clone(&self.shared));
            self.shared.tasks.spawn_owned(reader.run_once())
        });
        // Ends with the driver.
        let _first = first;
        loop {
            let members = self
                .shared
                .fleet
                .borrow()
                .eligible_members(self.shared.now());
            let plan = ReaderPlan::new(&self.shared.profile.node, &members);
            if let Some(reason) = plan.read_reason(&self.start()) {
                self.read(reason);
                Timer::after(ROLE_INTERVAL).await;
                continue;
            }
            if !self.follow(&plan).await {
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }

    fn start(&self) -> StartupState {
        let profile = &self.shared.profile;
        StartupState {
            is_seed: profile.seeds.contains(&profile.peer_address),
            has_seeds: !profile.seeds.is_empty(),
            uptime: self.shared.now().since(self.started),
        }
    }

    /// Follows the nodes of a plan, the best first, until one after the other
    /// has failed. Returns whether one was in contact.
    async fn follow(&mut self, plan: &ReaderPlan) -> bool {
        let mut silent = 0;
        for address in self.sources(plan) {
            match self.ask(address).await {
                FollowEnd::InContact => {
                    self.stop_reading();
                    return true;
                }
                FollowEnd::OutOfContact => {}
                FollowEnd::Silent => silent += 1,
            }
            if silent > SILENT_LIMIT && plan.reads_as_fallback(&self.start(), silent) {
                self.read("followed nodes are silent");
            }
        }
        if plan.reads_as_fallback(&self.start(), silent) {
            self.read("no followed node is in contact");
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
        if addresses.is_empty() || self.start().is_starting() {
            let own = self.shared.profile.peer_address;
            let seeds = self.shared.profile.seeds.iter().copied();
            let seeds: Vec<SocketAddr> = seeds.filter(|seed| *seed != own).collect();
            addresses.retain(|address| !seeds.contains(address));
            addresses.splice(0..0, seeds);
        }
        if addresses.len() > FIRST_SOURCES {
            let rest = addresses.len() - FIRST_SOURCES;
            let turn = usize::try_from(self.shared.random() % 64).unwrap_or_default();
            addresses[FIRST_SOURCES..].rotate_left(turn % rest);
        }
        addresses.truncate(ROUND_SOURCES);
        addresses
    }

    async fn ask(&self, address: SocketAddr) -> FollowEnd {
        let ask = FollowAsk {
            holding: HoldingNote::of(&self.shared, self.shared.now()),
            wait: FOLLOW_WAIT,
        };
        let timeout = FOLLOW_WAIT + ANSWER_SLACK;
        let peers = &self.shared.peers;
        let reply = peers.call::<_, NewsReply>(address, FOLLOW_PATH, &ask, timeout);
        let reply = reply.await;
        let end = if reply.is_ok() { "answered" } else { "failed" };
        let calls = &self.shared.metrics.peer_calls;
        calls.with_label_values(&["follow", end]).inc();
        match reply {
            Ok(reply) => {
                let is_fresh = reply.holding.age.is_some_and(|age| age <= AGE_LIMIT);
                let source = address.to_string();
                reply.apply(&self.shared, &source, self.shared.now());
                if is_fresh {
                    FollowEnd::InContact
                } else {
                    FollowEnd::OutOfContact
                }
            }
            Err(error) => {
                slog::debug!(self.shared.log, "news: Followed node did not answer.";
                    "peer" => %address, "error" => %error);
                FollowEnd::Silent
            }
        }
    }

    fn read(&mut self, reason: &str) {
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
        self.shared
            .store_connectivity
            .borrow_mut()
            .record_read_stop();
    }
}
