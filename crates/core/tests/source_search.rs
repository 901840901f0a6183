//! How soon nodes learn of a change of the store while those that read it for them are
//! lost, played in virtual time.

use std::net::SocketAddr;

use fastrand::Rng;
use verbenahub_core::{
    clock::TimeSpan,
    fleet::{ReaderPlan, ReaderRole, SourceList, SourceSearch, StartupState},
    ids::NodeId,
};

/// Time within which a change must be in force everywhere.
const BOUND_MS: u64 = 2_000;
/// Step of the virtual clock.
const TICK_MS: u64 = 5;
/// Time from a call between nodes to its response.
const ROUND_TRIP_MS: u64 = 5;
/// Time for which changes are batched before they are sent to followers.
const BATCH_MS: u64 = 20;
/// Time in which a node connects to the store and lists it.
const LISTING_MS: u64 = 100;
/// When readers are lost, long after the start.
const LOSS_MS: u64 = 1_500;

/// How a node is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// Its calls to the store fail, which it notices.
    Refused,
    /// The store does not answer its calls.
    Unserved,
    /// It stands still or is cut off from all others.
    Silent,
}

/// What a node is doing.
#[derive(Clone, Debug)]
enum Step {
    Start,
    Poll(usize, u64),
    Probe(Vec<usize>, u64, u32),
    HandOver(Vec<usize>, u64),
    Pause(u64),
}

struct Node {
    plan: ReaderPlan,
    search: SourceSearch,
    loss: Option<(Loss, u64)>,
    step: Step,
    /// When the node has listed the store, if it reads it.
    reads_from: Option<u64>,
    knows_at: Option<u64>,
}

struct Fleet {
    nodes: Vec<Node>,
    change_at: u64,
}

fn address(number: usize) -> SocketAddr {
    let [high, low] = u16::try_from(number).expect("a small number").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 80))
}

fn number_of(address: &SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("an IPv4 address");
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

fn name(number: usize) -> NodeId {
    NodeId::new(&format!("n{number}")).expect("an id")
}

const fn startup() -> StartupState {
    StartupState {
        is_seed: false,
        has_seeds: true,
        uptime: TimeSpan::from_secs(60),
    }
}

impl Node {
    fn is_lost(&self, loss: Loss, now: u64) -> bool {
        self.loss.is_some_and(|(own, at)| own == loss && now >= at)
    }

    fn is_connected(&self, now: u64) -> bool {
        let is_reading = self.reads_from.is_some_and(|from| from <= now);
        let lost_for = |at: u64| now.saturating_sub(at);
        let is_served = match self.loss {
            // The last answer of the store arrived at the moment of the loss.
            Some((Loss::Unserved, at)) => lost_for(at) < SourceSearch::MAX_DATA_AGE.as_millis(),
            Some((_, at)) => now < at,
            None => true,
        };
        is_reading && is_served
    }

    fn knows(&self, now: u64) -> bool {
        self.knows_at.is_some_and(|at| at <= now)
    }
}

impl Fleet {
    fn new(count: usize, change_at: u64) -> Self {
        let members: Vec<(NodeId, f64)> = (0..count).map(|number| (name(number), 0.25)).collect();
        let nodes = members.iter().map(|(node, _)| {
            let plan = ReaderPlan::new(node, &members);
            let reads_from = (plan.role == ReaderRole::Reader).then_some(0);
            Node {
                plan,
                search: SourceSearch::default(),
                loss: None,
                step: Step::Start,
                reads_from,
                knows_at: None,
            }
        });
        Self {
            nodes: nodes.collect(),
            change_at,
        }
    }

    fn readers(&self) -> Vec<usize> {
        let numbers = 0..self.nodes.len();
        let is_reader = |number: &usize| self.nodes[*number].plan.role == ReaderRole::Reader;
        numbers.filter(is_reader).collect()
    }

    fn sources(&self, number: usize) -> SourceList {
        let plan = &self.nodes[number].plan;
        let digits = |node: &NodeId| node.as_str()[1..].parse().expect("a number");
        let sources = plan.sources.iter();
        SourceList {
            addresses: sources.map(|node| address(digits(node))).collect(),
            preferred: plan.preferred,
        }
    }

    /// Starts the next step of a node that has ended one.
    fn begin(&mut self, number: usize, now: u64) {
        let sources = self.sources(number);
        let numbers = |addresses: &[SocketAddr]| addresses.iter().map(number_of).collect();
        let node = &self.nodes[number];
        let step = if node.is_connected(now) {
            if node.plan.role == ReaderRole::Reader {
                Step::Start
            } else {
                Step::HandOver(numbers(sources.preferred()), now)
            }
        } else if let Some(source) = node.search.source(&sources) {
            Step::Poll(number_of(&source), now)
        } else {
            Step::Probe(numbers(&sources.addresses), now, 0)
        };
        self.nodes[number].step = step;
    }

    fn keep(&mut self, number: usize, source: usize) {
        let node = &mut self.nodes[number];
        node.search.record_connected(address(source));
        if node.plan.role != ReaderRole::Reader {
            node.reads_from = None;
        }
        node.step = Step::Start;
    }

    /// The first of some nodes that says that it is connected, once it is certain.
    fn probed(&self, nodes: &[usize], sent: u64, now: u64) -> Option<Result<usize, u32>> {
        if now < sent + ROUND_TRIP_MS {
            return None;
        }
        let is_silent = |other: &usize| self.nodes[*other].is_lost(Loss::Silent, now);
        let mut responsive = nodes.iter().filter(|other| !is_silent(other));
        if let Some(found) = responsive.find(|other| self.nodes[**other].is_connected(now)) {
            return Some(Ok(*found));
        }
        let silent = nodes.iter().filter(|other| is_silent(other)).count();
        let is_over = now >= sent + SourceSearch::PROBE_TIMEOUT.as_millis();
        (silent == 0 || is_over).then_some(Err(u32::try_from(silent).expect("a small number")))
    }

    fn advance(&mut self, number: usize, now: u64) {
        let node = &self.nodes[number];
        if node.is_lost(Loss::Silent, now) {
            return;
        }
        if node.knows_at.is_none() && now >= self.change_at && node.is_connected(now) {
            let is_served = node.loss.is_none_or(|(_, at)| self.change_at < at);
            if is_served {
                self.nodes[number].knows_at = Some(now);
            }
        }
        match self.nodes[number].step.clone() {
            Step::Start => self.begin(number, now),
            Step::Pause(until) if now >= until => self.begin(number, now),
            Step::Pause(_) => {}
            Step::HandOver(preferred, sent) => match self.probed(&preferred, sent, now) {
                Some(Ok(found)) => self.keep(number, found),
                Some(Err(_)) => self.nodes[number].step = Step::Pause(now + 400),
                None => {}
            },
            Step::Poll(source, sent) => self.advance_poll(number, source, sent, now),
            Step::Probe(others, sent, unresponsive) => match self.probed(&others, sent, now) {
                Some(Ok(found)) => self.keep(number, found),
                Some(Err(silent)) => self.fail_round(number, unresponsive + silent, now),
                None => {}
            },
        }
    }

    fn advance_poll(&mut self, number: usize, source: usize, sent: u64, now: u64) {
        let other = &self.nodes[source];
        if other.is_lost(Loss::Silent, now) {
            if now >= sent + SourceSearch::LONG_POLL_TIMEOUT.as_millis() {
                self.probe_others(number, source, 1, now);
            }
            return;
        }
        if now < sent + ROUND_TRIP_MS {
            return;
        }
        let is_news = other.knows(now.saturating_sub(BATCH_MS)) && !self.nodes[number].knows(now);
        let is_connected = other.is_connected(now);
        if is_news {
            self.nodes[number].knows_at = Some(now);
        }
        if !is_connected {
            self.probe_others(number, source, 0, now);
        } else if is_news || now >= sent + SourceSearch::LONG_POLL.as_millis() {
            self.keep(number, source);
        }
    }

    fn probe_others(&mut self, number: usize, source: usize, unresponsive: u32, now: u64) {
        let sources = self.sources(number);
        let others = sources.without(Some(address(source)));
        let others = others.iter().map(number_of).collect();
        self.nodes[number].step = Step::Probe(others, now, unresponsive);
    }

    fn fail_round(&mut self, number: usize, unresponsive: u32, now: u64) {
        let node = &mut self.nodes[number];
        node.search.record_failed_round();
        let reads = node
            .search
            .reads_store(&node.plan, &startup(), unresponsive);
        if reads && node.reads_from.is_none() {
            node.reads_from = Some(now + LISTING_MS);
        }
        node.step = Step::Pause(now + node.search.pause().as_millis());
    }

    /// Plays until a while after the change.
    fn play(&mut self) {
        let mut now = 0;
        while now < self.change_at + BOUND_MS + 500 {
            for number in 0..self.nodes.len() {
                self.advance(number, now);
            }
            now += TICK_MS;
        }
    }

    /// Latest time after the change at which a node that is not lost learned of it.
    fn slowest(&self) -> Option<u64> {
        let sound = self.nodes.iter().filter(|node| node.loss.is_none());
        let times: Option<Vec<u64>> = sound.map(|node| node.knows_at).collect();
        times?
            .into_iter()
            .map(|at| at.saturating_sub(self.change_at))
            .max()
    }

    /// Nodes that read the store and are not lost.
    fn connected(&self, now: u64) -> usize {
        let nodes = self.nodes.iter();
        nodes.filter(|node| node.is_connected(now)).count()
    }
}

/// Sets of ways in which the four readers are lost.
const READER_LOSSES: &[[Option<Loss>; 4]] = &[
    [None; 4],
    [Some(Loss::Silent), None, None, None],
    [Some(Loss::Silent), Some(Loss::Silent), None, None],
    [Some(Loss::Refused); 4],
    [Some(Loss::Unserved); 4],
    [Some(Loss::Silent); 4],
    [
        Some(Loss::Silent),
        Some(Loss::Refused),
        Some(Loss::Refused),
        Some(Loss::Refused),
    ],
    [
        Some(Loss::Refused),
        Some(Loss::Silent),
        Some(Loss::Unserved),
        Some(Loss::Refused),
    ],
    [
        Some(Loss::Unserved),
        Some(Loss::Unserved),
        Some(Loss::Silent),
        Some(Loss::Unserved),
    ],
    [
        Some(Loss::Silent),
        Some(Loss::Silent),
        Some(Loss::Unserved),
        Some(Loss::Refused),
    ],
];

/// Times of the change, from just before the loss until all has settled.
const CHANGE_DELAYS_MS: &[u64] = &[0, 50, 300, 700, 1_050, 1_250, 1_600, 2_500];

/// Guards against changes that come into force too late. Nodes that had lost all readers
/// waited for each other, and for each silent reader in turn.
#[test]
fn change_reaches_all_sound_nodes_in_time_however_the_readers_are_lost() {
    let sizes = [
        (9, CHANGE_DELAYS_MS),
        (60, CHANGE_DELAYS_MS),
        (295, CHANGE_DELAYS_MS),
        (2_000, &[0]),
    ];
    for (count, delays) in sizes {
        for losses in READER_LOSSES {
            for delay in delays {
                // In the first wave, or only the second and fourth reader half a second
                // later.
                for second_wave in [0, 500] {
                    let change_at = LOSS_MS + delay;
                    let mut fleet = Fleet::new(count, change_at);
                    for (index, (reader, loss)) in fleet.readers().iter().zip(losses).enumerate() {
                        let wave = if index % 2 == 1 { second_wave } else { 0 };
                        fleet.nodes[*reader].loss = loss.map(|loss| (loss, LOSS_MS + wave));
                    }
                    fleet.play();
                    let case = format!("{count} nodes, {losses:?}, {second_wave}, after {delay}");
                    let slowest = fleet.slowest().unwrap_or(u64::MAX);
                    assert!(slowest <= BOUND_MS, "{case}: {slowest} ms");
                }
            }
        }
    }
}

/// The store turns a third of all nodes away, among them all readers.
#[test]
fn change_reaches_the_others_in_time_when_a_third_of_all_nodes_is_turned_away() {
    for count in [9, 60, 295] {
        for seed in 0..20 {
            for delay in CHANGE_DELAYS_MS {
                let mut fleet = Fleet::new(count, LOSS_MS + delay);
                let mut rng = Rng::with_seed(seed);
                let mut lost = fleet.readers();
                let mut others: Vec<usize> = (0..count).filter(|n| !lost.contains(n)).collect();
                rng.shuffle(&mut others);
                lost.extend(others.into_iter().take((count / 3).saturating_sub(4)));
                for number in lost {
                    fleet.nodes[number].loss = Some((Loss::Refused, LOSS_MS));
                }
                fleet.play();
                let case = format!("{count} nodes, seed {seed}, after {delay}");
                let slowest = fleet.slowest().unwrap_or(u64::MAX);
                assert!(slowest <= BOUND_MS, "{case}: {slowest} ms");
            }
        }
    }
}

/// Guards against needless reads of the store: nodes that read it for lost readers give
/// way to one of them, and do not take turns.
#[test]
fn one_node_reads_the_store_in_place_of_lost_readers() {
    for count in [9, 60, 295] {
        let mut fleet = Fleet::new(count, LOSS_MS + 1_000);
        for reader in fleet.readers() {
            fleet.nodes[reader].loss = Some((Loss::Refused, LOSS_MS));
        }
        for now in (0..LOSS_MS + 4_000).step_by(usize::try_from(TICK_MS).expect("a small number")) {
            for number in 0..count {
                fleet.advance(number, now);
            }
            if now > LOSS_MS + 2_000 {
                assert_eq!(fleet.connected(now), 1, "{count} nodes, {now} ms");
            }
        }
    }
}
