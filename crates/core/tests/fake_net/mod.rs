//! Simulated in-memory network between cluster machines, with message loss,
//! delay, partitions, pauses and restarts, deterministic for a given seed.

// Each test and example that includes the module uses only a part of it.
#![allow(dead_code)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use fastrand::Rng;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    cluster::{
        CallId, ClusterAction, ClusterEvent, ClusterMachine, ClusterSettings, ReplyToken, TICK_SPAN,
    },
    feed::{FeedKind, FeedLimits, FeedVersion},
    ids::{IncarnationNumber, NodeId, RevisionNumber, ZoneName},
    protocol::{VmEntry, VmRole, VmState},
};

pub mod checks;

mod fake_service;

pub use self::fake_service::FakeService;

const START_MS: u64 = 1_000_000;

/// One node of the network.
pub struct FakeNode {
    pub machine: ClusterMachine,
    pub running: bool,
    /// Network partition of the node; messages do not cross partitions.
    pub partition: u32,
    /// Whether the node's reads reach the platform.
    pub reaches_platform: bool,
    /// Bytes sent and received, if counted.
    pub bytes: u64,
    /// Messages sent and received, if counted.
    pub messages: u64,
    /// Time spent in the machine, if measured.
    pub busy: Duration,
    incarnation: u64,
    paused_until: ClockTime,
    pending_replies: BTreeMap<ReplyToken, (usize, u64, CallId)>,
}

enum Delivery {
    Tick,
    Event(ClusterEvent),
    Call {
        from: usize,
        incarnation: u64,
        id: CallId,
        event: ClusterEvent,
    },
    Watch {
        feed: FeedKind,
        after: RevisionNumber,
        until: ClockTime,
    },
}

struct ScheduledDelivery {
    to: usize,
    incarnation: u64,
    delivery: Delivery,
}

/// The simulated nodes, network, platform and clock.
pub struct FakeNet {
    pub nodes: Vec<FakeNode>,
    pub services: [FakeService; 2],
    pub now: ClockTime,
    /// Probability that a message is lost.
    pub loss_rate: f64,
    /// Maximum one-way delay of a message in milliseconds.
    pub delay_ms: u64,
    /// Bytes counted for the HTTP head of each message.
    pub head_bytes: u64,
    /// Whether to count bytes and messages and to measure time.
    pub measured: bool,
    zones: usize,
    rng: Rng,
    queue: BinaryHeap<Reverse<(ClockTime, u64)>>,
    deliveries: BTreeMap<u64, ScheduledDelivery>,
    sequence: u64,
}

impl FakeNet {
    /// Creates a network of running nodes, whose first ticks are spread over one
    /// tick interval.
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            services: [FakeService::default(), FakeService::default()],
            now: ClockTime::from_millis(START_MS),
            loss_rate: 0.0,
            delay_ms: 3,
            head_bytes: 0,
            measured: false,
            zones,
            rng: Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            sequence: 0,
        };
        for index in 0..count {
            let node = net.new_node(index, 1, count);
            net.nodes.push(node);
            net.start_ticks(index);
        }
        net
    }

    /// Publishes all nodes in the membership list.
    pub fn list_nodes(&mut self) {
        for index in 0..self.nodes.len() {
            self.list_node(index, VmState::Live);
        }
    }

    /// Publishes one node in the membership list.
    pub fn list_node(&mut self, index: usize, state: VmState) {
        let entry = VmEntry {
            role: VmRole::Node,
            address: address_of(index),
            region: "south".parse().expect("a valid region name"),
            zone: zone_of(index, self.zones),
            state,
            pool: None,
            models: Vec::new(),
            checks_fence: false,
            capacity: None,
        };
        let value = serde_json::to_vec(&entry).expect("the entry is serializable");
        self.services[FeedKind::Vms.index()]
            .publish(&format!("vms/{}", node_id(index)), Some(value));
    }

    /// Publishes a configuration record.
    pub fn publish_config(&mut self, name: u64, size: usize) {
        let key = format!("pipelines/p{name}/1-00000000");
        let value = vec![name.to_le_bytes()[0]; size];
        self.services[FeedKind::Config.index()].publish(&key, Some(value));
    }

    /// Advances the simulation by a span.
    pub fn run_for(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(scheduled) = self.deliveries.remove(&sequence) {
                self.deliver(scheduled);
            }
        }
        self.now = end;
    }

    /// Runs until `done` returns true, for at most `limit`. Returns the time that it
    /// took, or `None` at the limit.
    pub fn run_until<F>(&mut self, limit: TimeSpan, done: F) -> Option<TimeSpan>
    where
        F: Fn(&Self) -> bool,
    {
        let start = self.now;
        while self.now.since(start) < limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run_for(TimeSpan::from_millis(50));
        }
        done(self).then(|| self.now.since(start))
    }

    /// Whether all running nodes hold the same, newest version of a feed.
    pub fn agree(&self, feed: FeedKind) -> bool {
        let newest = RevisionNumber::new(self.services[feed.index()].len() as u64);
        let versions = self.versions(feed);
        versions
            .iter()
            .all(|version| *version == versions[0] && version.revision == newest)
    }

    /// Versions of a feed at all running nodes.
    pub fn versions(&self, feed: FeedKind) -> Vec<FeedVersion> {
        let running = self.nodes.iter().filter(|node| node.running);
        running
            .map(|node| node.machine.replica(feed).version())
            .collect()
    }

    /// Versions of a feed at all nodes.
    pub fn all_versions(&self, feed: FeedKind) -> Vec<FeedVersion> {
        let nodes = self.nodes.iter();
        nodes
            .map(|node| node.machine.replica(feed).version())
            .collect()
    }

    /// Whether all running nodes are ready.
    pub fn all_ready(&self) -> bool {
        let mut running = self.nodes.iter().filter(|node| node.running);
        running.all(|node| node.machine.readiness(self.now).is_ready())
    }

    /// The platform's service of a feed.
    pub fn service(&mut self, feed: FeedKind) -> &mut FakeService {
        &mut self.services[feed.index()]
    }

    /// Takes the whole platform down or up.
    pub fn set_platform_down(&mut self, down: bool) {
        for service in &mut self.services {
            service.down = down;
        }
    }

    /// Age of the most recent confirmation at each running node, in milliseconds.
    pub fn confirmation_ages(&mut self, feed: FeedKind) -> Vec<u64> {
        let now = self.now;
        let running = self.nodes.iter_mut().filter(|node| node.running);
        let views = running.map(|node| node.machine.view(now));
        let summary = views.map(|view| match feed {
            FeedKind::Config => view.config,
            FeedKind::Vms => view.vms,
        });
        summary
            .map(|feed| feed.confirmed_ago.unwrap_or(TimeSpan::MAX).as_millis())
            .collect()
    }

    /// Resets the counters and starts counting bytes, messages and time.
    pub fn reset_counts(&mut self) {
        self.measured = true;
        for node in &mut self.nodes {
            node.bytes = 0;
            node.messages = 0;
            node.busy = Duration::ZERO;
        }
    }

    /// Number of live nodes in the view of a node.
    pub fn live_count(&mut self, index: usize) -> usize {
        let now = self.now;
        self.nodes[index].machine.view(now).members.live.len()
    }

    /// Kills the process of a node without a graceful shutdown.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].running = false;
    }

    /// Starts a new process of a node with empty state and the next incarnation.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation + 1;
        self.restart_as(index, incarnation);
    }

    /// Starts a new process of a node with empty state and a given incarnation.
    pub fn restart_as(&mut self, index: usize, incarnation: u64) {
        let count = self.nodes.len();
        let partition = self.nodes[index].partition;
        self.nodes[index] = self.new_node(index, incarnation, count);
        self.nodes[index].partition = partition;
        self.start_ticks(index);
    }

    /// Pauses the process of a node for a span.
    pub fn pause(&mut self, index: usize, span: TimeSpan) {
        self.nodes[index].paused_until = self.now + span;
    }

    /// Passes an event to a node and performs the actions that it returns.
    pub fn send(&mut self, index: usize, event: ClusterEvent) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let started = self.measured.then(Instant::now);
        let actions = node.machine.handle(event, now);
        if let Some(started) = started {
            node.busy += started.elapsed();
        }
        for action in actions {
            self.perform(index, action);
        }
    }

    fn new_node(&mut self, index: usize, incarnation: u64, count: usize) -> FakeNode {
        let settings = ClusterSettings {
            node: node_id(index),
            address: address_of(index),
            zone: zone_of(index, self.zones),
            incarnation: IncarnationNumber::new(incarnation),
            seeds: (0..count.min(10)).map(address_of).collect(),
            limits: FeedLimits::default(),
            rng_seed: self.rng.u64(..),
        };
        FakeNode {
            machine: ClusterMachine::new(settings, self.now),
            running: true,
            partition: 0,
            reaches_platform: true,
            bytes: 0,
            messages: 0,
            busy: Duration::ZERO,
            incarnation,
            paused_until: ClockTime::ZERO,
            pending_replies: BTreeMap::new(),
        }
    }

    fn start_ticks(&mut self, index: usize) {
        let offset = TimeSpan::from_millis(self.rng.u64(0..TICK_SPAN.as_millis()));
        self.schedule(index, offset, Delivery::Tick);
    }

    fn schedule(&mut self, to: usize, delay: TimeSpan, delivery: Delivery) {
        let incarnation = self.nodes[to].incarnation;
        self.schedule_delivery(
            ScheduledDelivery {
                to,
                incarnation,
                delivery,
            },
            self.now + delay,
        );
    }

    fn schedule_delivery(&mut self, scheduled: ScheduledDelivery, at: ClockTime) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.deliveries.insert(self.sequence, scheduled);
    }

    fn deliver(&mut self, scheduled: ScheduledDelivery) {
        let node = &mut self.nodes[scheduled.to];
        if !node.running || node.incarnation != scheduled.incarnation {
            return;
        }
        if self.now < node.paused_until {
            let at = node.paused_until;
            self.schedule_delivery(scheduled, at);
            return;
        }
        let index = scheduled.to;
        match scheduled.delivery {
            Delivery::Tick => {
                self.send(index, ClusterEvent::Tick);
                self.schedule(index, TICK_SPAN, Delivery::Tick);
            }
            Delivery::Event(event) => self.send(index, event),
            Delivery::Call {
                from,
                incarnation,
                id,
                event,
            } => {
                if let ClusterEvent::Call { token, .. } = &event {
                    self.nodes[index]
                        .pending_replies
                        .insert(*token, (from, incarnation, id));
                }
                self.send(index, event);
            }
            Delivery::Watch { feed, after, until } => self.answer_read(index, feed, after, until),
        }
    }

    fn perform(&mut self, index: usize, action: ClusterAction) {
        match action {
            ClusterAction::Call {
                id,
                address,
                timeout,
                call,
            } => {
                self.record_message(index, &*call);
                self.schedule(
                    index,
                    timeout,
                    Delivery::Event(ClusterEvent::CallFailed { id }),
                );
                let to = usize::from(address.port());
                if self.drops_message(index, to) {
                    return;
                }
                self.record_message(to, &*call);
                let token = ReplyToken(self.sequence);
                let incarnation = self.nodes[index].incarnation;
                let event = ClusterEvent::Call { token, call };
                let delay = self.delay();
                self.schedule(
                    to,
                    delay,
                    Delivery::Call {
                        from: index,
                        incarnation,
                        id,
                        event,
                    },
                );
            }
            ClusterAction::Reply { token, reply } => {
                let Some((to, incarnation, id)) = self.nodes[index].pending_replies.remove(&token)
                else {
                    return;
                };
                self.record_message(index, &*reply);
                if self.drops_message(index, to) {
                    return;
                }
                self.record_message(to, &*reply);
                let at = self.now + self.delay();
                let delivery = Delivery::Event(ClusterEvent::Reply { id, reply });
                self.schedule_delivery(
                    ScheduledDelivery {
                        to,
                        incarnation,
                        delivery,
                    },
                    at,
                );
            }
            ClusterAction::ReadFeed { feed, after, wait } => {
                let second = (self.now.as_millis() - START_MS) / 1_000;
                *self.services[feed.index()].calls.entry(second).or_default() += 1;
                let until = self.now + wait;
                let delay = self.delay();
                self.schedule(index, delay, Delivery::Watch { feed, after, until });
            }
            ClusterAction::Refuse { .. }
            | ClusterAction::FeedChanged { .. }
            | ClusterAction::Note(_) => {}
        }
    }

    fn answer_read(
        &mut self,
        index: usize,
        feed: FeedKind,
        after: RevisionNumber,
        until: ClockTime,
    ) {
        let service = &self.services[feed.index()];
        if service.down || !self.nodes[index].reaches_platform {
            let delay = TimeSpan::from_millis(1);
            self.schedule(
                index,
                delay,
                Delivery::Event(ClusterEvent::FeedFailed { feed }),
            );
            return;
        }
        let page = service.page(after, index);
        if page.entries.is_empty() && self.now < until {
            let delay = TimeSpan::from_millis(20);
            self.schedule(index, delay, Delivery::Watch { feed, after, until });
            return;
        }
        let delay = self.delay();
        self.schedule(
            index,
            delay,
            Delivery::Event(ClusterEvent::FeedRead { feed, page }),
        );
    }

    fn drops_message(&mut self, from: usize, to: usize) -> bool {
        let lost = self.rng.f64() < self.loss_rate;
        let partition = self.nodes[from].partition;
        let reached = |node: &FakeNode| node.running && node.partition == partition;
        lost || !self.nodes.get(to).is_some_and(reached)
    }

    fn delay(&mut self) -> TimeSpan {
        TimeSpan::from_millis(self.rng.u64(1..=self.delay_ms))
    }

    fn record_message<T>(&mut self, index: usize, message: &T)
    where
        T: serde::Serialize,
    {
        if self.measured {
            let body = rmp_serde::to_vec(message).expect("the message is serializable");
            self.nodes[index].bytes += body.len() as u64 + self.head_bytes;
            self.nodes[index].messages += 1;
        }
    }
}

/// Time at which the network was created.
pub fn start() -> ClockTime {
    ClockTime::from_millis(START_MS)
}

/// Identifier of a node by its index.
pub fn node_id(index: usize) -> NodeId {
    NodeId::new(&format!("node-{index:04}")).expect("a valid node id")
}

fn address_of(index: usize) -> SocketAddr {
    let port = u16::try_from(index).expect("the index fits a port number");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn zone_of(index: usize, zones: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{}", index % zones)).expect("a valid zone name")
}
