//! Permits for a target with a limit, played in virtual time over a fleet: calm,
//! with lost messages, with an owner that is lost again and again, and split.

mod target_fixture;

use std::{collections::VecDeque, sync::Arc};

use fastrand::Rng;
use target_fixture::{at, record};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    fleet::{FleetMember, FleetTable},
    ids::{IncarnationNumber, NodeId},
    targets::{
        EffectiveLimit, OwnerTenure, PermitDecision, PermitLedger, RequestLimit, TargetRecord,
    },
    units::RateLimit,
};

/// Period over which the platform counts requests at a target.
const WINDOW_MS: u64 = 4_000;
/// Period over which it counts them at a cold target.
const COLD_WINDOW_MS: u64 = 1_000;
/// Length of each run. Long against the window.
const RUN_MS: u64 = 40_000;
/// Time until all nodes know that the owner has changed.
const DETECTION_MS: u64 = 1_000;
/// As [`DETECTION_MS`], with gossip that takes three rounds.
const SLOW_DETECTION_MS: u64 = 3_000;
/// Time after which a node asks an owner again that did not answer.
const OWNER_BACKOFF: TimeSpan = TimeSpan::from_millis(500);
/// Rounds of gossip after which a node is established.
const ESTABLISHED_ROUNDS: u64 = 20;
/// Runs of each case of cold targets.
const SEEDS: u64 = 3;

/// What happens to the fleet during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// One in ten questions to the owner gets no answer.
    LostMessages,
    /// The owner is replaced by another node every five seconds. Half of the nodes
    /// notice a second late.
    OwnerReplaced,
    /// No other node reaches the owner.
    OwnerSilent,
    /// The owner stands still for two of every five seconds.
    OwnerFrozen,
    /// A third of the nodes can't reach the others from the tenth second on.
    Split,
}

/// A node of the fleet: its view of the members, and the permits that it grants.
struct Node {
    fleet: FleetTable,
    owned: PermitLedger,
    share: PermitLedger,
    tenure: OwnerTenure,
    closed_until: ClockTime,
}

struct Simulation {
    nodes: Vec<Node>,
    record: Arc<TargetRecord>,
    limit: RequestLimit,
    is_cold: bool,
    trouble: Trouble,
    rng: Rng,
    sends: VecDeque<u64>,
    most_in_window: usize,
    total: usize,
    questions: usize,
}

fn member(index: usize, heartbeat: u64) -> FleetMember {
    FleetMember {
        node: NodeId::new(&format!("n{index:04}")).expect("a valid node identifier"),
        address: "10.0.0.2:80".parse().expect("a valid address"),
        incarnation: IncarnationNumber::new(1),
        heartbeat,
        weight: 0.25,
        active: true,
    }
}

impl Simulation {
    fn new(nodes: usize, limit: f64, trouble: Trouble, seed: u64) -> Self {
        let members: Vec<_> = (0..nodes)
            .map(|index| member(index, ESTABLISHED_ROUNDS))
            .collect();
        let nodes = members.iter().map(|own| {
            let mut fleet = FleetTable::new(own.clone());
            fleet.merge(members.clone(), ClockTime::ZERO);
            Node {
                fleet,
                owned: PermitLedger::default(),
                share: PermitLedger::for_shares(),
                tenure: OwnerTenure::default(),
                closed_until: ClockTime::ZERO,
            }
        });
        Self {
            nodes: nodes.collect(),
            record: record("t1", Some(1)),
            limit: limit.to_string().parse().expect("a valid limit"),
            is_cold: false,
            trouble,
            rng: Rng::with_seed(seed),
            sends: VecDeque::new(),
            most_in_window: 0,
            total: 0,
            questions: 0,
        }
    }

    /// Whether two nodes reach each other.
    fn is_connected(&self, left: usize, right: usize, now: u64) -> bool {
        let is_small_side = |node: usize| node < self.nodes.len() / 3;
        let is_split = self.trouble == Trouble::Split && now >= 10_000;
        !is_split || is_small_side(left) == is_small_side(right)
    }

    /// The owner in the view of a node.
    fn owner(&self, node: usize, now: u64) -> usize {
        let count = self.nodes.len();
        match self.trouble {
            Trouble::OwnerReplaced => {
                let detection = if self.is_cold {
                    SLOW_DETECTION_MS
                } else {
                    DETECTION_MS
                };
                let lag = if node.is_multiple_of(2) { 0 } else { detection };
                let change = now.saturating_sub(lag) / 5_000;
                usize::try_from(change).unwrap_or(0) % count
            }
            // Each side has an owner of its own once it has noticed the split.
            Trouble::Split => {
                let members = self.nodes[node].fleet.active_members(at(now));
                let (first, _) = members.first().expect("the node itself is active");
                first.as_str()[1..].parse().expect("a number")
            }
            _ => 0,
        }
    }

    /// Whether the owner answers a question of a node.
    fn answers(&mut self, owner: usize, node: usize, now: u64) -> bool {
        let is_lost = match self.trouble {
            Trouble::LostMessages => self.rng.u8(..10) == 0,
            Trouble::OwnerFrozen => now % 5_000 >= 3_000,
            Trouble::OwnerSilent => true,
            _ => false,
        };
        !is_lost && self.is_connected(owner, node, now)
    }

    /// The limit, by what the target has named or because it is cold.
    fn effective_limit(&self) -> EffectiveLimit {
        let limit = Some((self.limit, TimeSpan::from_secs(1)));
        let (named, cold) = if self.is_cold {
            (None, limit)
        } else {
            (limit, None)
        };
        EffectiveLimit::combine(named, cold).expect("a limit")
    }

    /// Lets a node notice whether the owner has changed.
    fn observe_owner(&mut self, node: usize, now: u64) {
        let owner = member(self.owner(node, now), 0).node;
        let node = &mut self.nodes[node];
        let is_connected = node.fleet.grant_share(at(now)) >= 1.0;
        node.tenure.observe(&[owner], is_connected, at(now));
    }

    /// Plays a request of a node.
    fn request(&mut self, node: usize, now: u64) {
        let time = at(now);
        if self.nodes[node].closed_until > time {
            return;
        }
        let owner = self.owner(node, now);
        self.questions += usize::from(owner != node);
        let patience = TimeSpan::ZERO;
        let is_granted_by_owner = owner == node || self.answers(owner, node, now);
        let is_owner = self.owner(owner, now) == owner;
        if !is_owner {
            let record = Arc::clone(&self.record);
            self.nodes[owner].owned.forget(&record);
        }
        let limited = self.effective_limit();
        let decision = if is_granted_by_owner && is_owner {
            self.observe_owner(owner, now);
            let granting = &mut self.nodes[owner];
            let share = granting.fleet.grant_share(time);
            let pace = limited.owner_pace(share, granting.tenure.is_disturbed(time));
            granting.owned.acquire(&self.record, pace, patience, time)
        } else {
            // Drawn for cold targets only, which alone use it.
            let phase = if self.is_cold { self.rng.f64() } else { 0.0 };
            let asking = &mut self.nodes[node];
            let pace = limited.share_pace(asking.fleet.equal_share(), phase);
            asking.share.acquire(&self.record, pace, patience, time)
        };
        match decision {
            PermitDecision::Granted { .. } => self.record_send(now),
            PermitDecision::Denied { retry_after } => {
                let longest = if is_granted_by_owner && is_owner {
                    retry_after
                } else {
                    OWNER_BACKOFF
                };
                self.nodes[node].closed_until = time + retry_after.min(longest);
            }
        }
    }

    fn record_send(&mut self, now: u64) {
        self.total += 1;
        self.sends.push_back(now);
        let window = if self.is_cold {
            COLD_WINDOW_MS
        } else {
            WINDOW_MS
        };
        while self
            .sends
            .front()
            .is_some_and(|first| first + window <= now)
        {
            self.sends.pop_front();
        }
        self.most_in_window = self.most_in_window.max(self.sends.len());
    }

    /// Lets all nodes hear from the members that they reach.
    fn gossip(&mut self, now: u64) {
        let heartbeat = ESTABLISHED_ROUNDS + 1 + now;
        for node in 0..self.nodes.len() {
            let heard = (0..self.nodes.len())
                .filter(|other| self.is_connected(node, *other, now))
                .map(|other| member(other, heartbeat))
                .collect();
            self.nodes[node].fleet.merge(heard, at(now));
            self.observe_owner(node, now);
        }
    }

    /// Plays a run with demand of a multiple of the limit, spread over the nodes.
    fn run(mut self, demand: f64) -> Self {
        let chance = self.limit.rate().as_per_second() * demand / 1_000.0;
        for now in 0..RUN_MS {
            if now.is_multiple_of(1_000) && self.nodes.len() <= 300 {
                self.gossip(now);
            }
            let mut demand = chance;
            while demand > 0.0 {
                if self.rng.f64() < demand {
                    let node = self.rng.usize(..self.nodes.len());
                    self.request(node, now);
                }
                demand -= 1.0;
            }
        }
        self
    }
}

/// Number of requests in a window that the platform's rule allows.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * 4.0 + 5.0
}

#[allow(clippy::cast_precision_loss)] // Some thousand requests.
fn number(count: usize) -> f64 {
    count as f64
}

const TROUBLES: [Trouble; 6] = [
    Trouble::None,
    Trouble::LostMessages,
    Trouble::OwnerReplaced,
    Trouble::OwnerSilent,
    Trouble::OwnerFrozen,
    Trouble::Split,
];

#[test]
fn target_gets_no_more_than_its_limit_allows_in_any_window() {
    for nodes in [9, 60, 295] {
        for limit in [0.3, 1.3, 20.0, 100.0] {
            for trouble in TROUBLES {
                let played = Simulation::new(nodes, limit, trouble, 7).run(4.0);
                println!(
                    "{nodes} nodes, limit {limit}, {trouble:?}: {} of {} in a window, {} in all",
                    played.most_in_window,
                    allowed(limit),
                    played.total
                );
                assert!(
                    number(played.most_in_window) <= allowed(limit),
                    "{nodes} nodes, limit {limit}, {trouble:?}: {} requests in a window",
                    played.most_in_window
                );
            }
        }
    }
}

/// Guards against owners that both grant a whole limit while nodes disagree on the
/// owner, and against shares that many nodes use at the same moment.
#[test]
fn cold_target_gets_no_more_than_it_tolerates_in_any_second() {
    for nodes in [9, 30, 86] {
        for limit in [15.0, 22.0] {
            for trouble in TROUBLES {
                let most = (0..SEEDS).map(|seed| {
                    let mut played = Simulation::new(nodes, limit, trouble, seed);
                    played.is_cold = true;
                    let played = played.run(4.0);
                    (played.most_in_window, played.total)
                });
                let (most, total) = most.max().expect("a run");
                let allowed = 1.5 * limit + 5.0;
                println!(
                    "cold, {nodes} nodes, limit {limit}, {trouble:?}: {most} of {allowed} in a second, {total} in all"
                );
                assert!(
                    number(most) <= allowed,
                    "{nodes} nodes, limit {limit}, {trouble:?}: {most} requests in a second"
                );
            }
        }
    }
}

#[test]
fn shares_that_were_not_used_for_long_grant_no_burst() {
    let rate = RateLimit::per_second(1.0).expect("a valid rate");
    let record = record("t1", Some(1));
    let mut shares = PermitLedger::for_shares();
    let ask = |shares: &mut PermitLedger, now: u64| {
        let decision = shares.acquire(&record, rate, TimeSpan::ZERO, at(now));
        matches!(decision, PermitDecision::Granted { .. })
    };
    assert!(!ask(&mut shares, 0));
    assert!(ask(&mut shares, 1_500));
    assert!(!ask(&mut shares, 60_000));
    assert!(!ask(&mut shares, 60_500));
    assert!(ask(&mut shares, 61_000));
}

#[test]
fn nine_tenths_of_a_limit_are_used_while_demand_is_double() {
    for nodes in [9, 60, 295] {
        for limit in [1.3, 20.0] {
            let played = Simulation::new(nodes, limit, Trouble::None, 11).run(2.0);
            let seconds = 40.0;
            assert!(
                number(played.total) >= 0.9 * limit * seconds,
                "{nodes} nodes, limit {limit}: {} requests",
                played.total
            );
        }
    }
}

#[test]
fn owner_of_a_limit_is_asked_at_most_once_per_request_at_2000_nodes() {
    let played = Simulation::new(2_000, 20.0, Trouble::None, 13).run(2.0);
    assert!(number(played.most_in_window) <= allowed(20.0));
    // Demand is 40 requests a second for 40 seconds.
    assert!(played.questions <= 1_700, "{} questions", played.questions);
}
