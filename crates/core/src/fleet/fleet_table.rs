use std::{collections::BTreeMap, net::SocketAddr};

use fastrand::Rng;

use super::FleetMember;
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{IncarnationNumber, NodeId},
    policy::numbers,
};

/// Time without a new heartbeat after which a member no longer owns shared
/// work. Gossip reaches all members within about three rounds, which are a
/// second apart at nodes that are ready and up to date (`STEADY_INTERVAL` of the
/// gossip schedule).
const HEARTBEAT_TIMEOUT: TimeSpan = TimeSpan::from_millis(4_500);
/// Time for which a member that did not answer a call owns no shared work.
const UNREACHABLE_PERIOD: TimeSpan = TimeSpan::from_millis(1_500);
/// Minimum weight of a node that does work for others, as a fraction of the
/// largest active weight.
const MIN_WEIGHT_FRACTION: f64 = 0.5;
/// Number of gossip rounds after which a node is expected to know the whole
/// fleet, even if all nodes started together. At the interval of a starting node
/// (`FAST_INTERVAL` of the gossip schedule, 200 ms) they take three seconds.
const ESTABLISHED_ROUNDS: u64 = 15;
/// Number of members that a node assumes at least when it divides a limit and may
/// not have met all of them.
const MIN_ASSUMED_MEMBERS: usize = 12;
/// Part of its share of a limit that a node uses while others may use it too.
const PARTITION_SHARE: f64 = 0.5;
/// Share of the known members above which those in contact are the larger part.
const MAJORITY: f64 = 0.5;
/// Time without a new heartbeat after which a member is removed from the table.
const MEMBER_RETENTION: TimeSpan = TimeSpan::from_secs(60);

/// Another member of the fleet, and when it was last heard from.
#[derive(Clone, Debug)]
struct KnownMember {
    member: FleetMember,
    last_heard: ClockTime,
    unreachable_until: ClockTime,
}

/// All gateways that a gateway knows, itself included.
#[derive(Clone, Debug)]
pub struct FleetTable {
    own: FleetMember,
    others: BTreeMap<NodeId, KnownMember>,
}

impl FleetTable {
    /// Creates the table of a node that knows only itself.
    #[must_use]
    pub const fn new(own: FleetMember) -> Self {
        Self {
            own,
            others: BTreeMap::new(),
        }
    }

    /// Returns this node.
    #[must_use]
    pub const fn own(&self) -> &FleetMember {
        &self.own
    }

    /// Sets whether this node takes part in shared work.
    pub const fn set_active(&mut self, active: bool) {
        self.own.active = active;
    }

    /// Starts a gossip round: increments the heartbeat, removes members whose
    /// retention time has passed, and returns the members to send.
    pub fn start_round(&mut self, now: ClockTime) -> Vec<FleetMember> {
        self.own.heartbeat += 1;
        self.others
            .retain(|_, known| now.since(known.last_heard) < MEMBER_RETENTION);
        self.members()
    }

    /// Returns all members, this node first.
    #[must_use]
    pub fn members(&self) -> Vec<FleetMember> {
        let others = self.others.values().map(|known| known.member.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// Merges members received from another node. Of two states of a member,
    /// the one with the higher incarnation and then heartbeat wins.
    pub fn merge(&mut self, members: Vec<FleetMember>, now: ClockTime) {
        for member in members {
            if member.node == self.own.node {
                continue;
            }
            let Some(known) = self.others.get_mut(&member.node) else {
                self.others.insert(
                    member.node.clone(),
                    KnownMember {
                        member,
                        last_heard: now,
                        unreachable_until: ClockTime::ZERO,
                    },
                );
                continue;
            };
            let version = |member: &FleetMember| (member.incarnation, member.heartbeat);
            if version(&member) > version(&known.member) {
                known.member = member;
                known.last_heard = now;
            }
        }
    }

    /// Records that a member did not answer a call.
    pub fn record_unreachable(&mut self, node: &NodeId, now: ClockTime) {
        if let Some(known) = self.others.get_mut(node) {
            known.unreachable_until = now + UNREACHABLE_PERIOD;
        }
    }

    /// Returns the members that take part in shared work, with their weights,
    /// ordered by id.
    #[must_use]
    pub fn active_members(&self, now: ClockTime) -> Vec<(NodeId, f64)> {
        let others = self.others.values().filter(|known| {
            let is_live = now.since(known.last_heard) < HEARTBEAT_TIMEOUT;
            known.member.active && is_live && known.unreachable_until <= now
        });
        let mut active: Vec<(NodeId, f64)> = others
            .map(|known| (known.member.node.clone(), known.member.weight))
            .collect();
        if self.own.active {
            active.push((self.own.node.clone(), self.own.weight));
        }
        active.sort_by(|left, right| left.0.cmp(&right.0));
        active
    }

    /// Returns the active members that may do work for other nodes, with their
    /// weights: those whose VMs are not much smaller than the largest one. A
    /// small VM that collects for a whole service falls behind at the first
    /// burst.
    #[must_use]
    pub fn eligible_members(&self, now: ClockTime) -> Vec<(NodeId, f64)> {
        let mut members = self.active_members(now);
        let largest = members
            .iter()
            .map(|(_, weight)| *weight)
            .fold(0.0, f64::max);
        members.retain(|(_, weight)| *weight >= largest * MIN_WEIGHT_FRACTION);
        members
    }

    /// Whether this node is active and knows another active node that has
    /// gossiped for long enough to know the whole fleet.
    #[must_use]
    pub fn knows_established_member(&self) -> bool {
        let mut others = self.others.values();
        let is_established = |known: &KnownMember| {
            known.member.active && known.member.heartbeat >= ESTABLISHED_ROUNDS
        };
        self.own.active && others.any(is_established)
    }

    /// Returns the share of a limit of the whole fleet that this node may grant as
    /// its owner. All of it if the node is in contact with most of the members that
    /// it knows, and else half of their share: of the parts of a partitioned fleet
    /// one at most is that large, so together they grant one and a quarter of the
    /// limit at most. A node that has just started takes the fleet for larger than
    /// the members that it has met.
    #[must_use]
    pub fn grant_share(&self, now: ClockTime) -> f64 {
        let live = numbers::count(self.live_count(now));
        let known = self.others.len() + 1;
        let is_established =
            self.own.heartbeat >= ESTABLISHED_ROUNDS || self.knows_established_member();
        if !is_established {
            return live / numbers::count(known.max(MIN_ASSUMED_MEMBERS));
        }
        let share = live / numbers::count(known);
        if share > MAJORITY {
            1.0
        } else {
            share * PARTITION_SHARE
        }
    }

    /// Returns the share of a limit of the whole fleet that each node may use
    /// without asking the owner, while that does not answer. The owner may still
    /// grant all of it to others.
    #[must_use]
    pub fn equal_share(&self) -> f64 {
        let known = self.others.len() + 1;
        PARTITION_SHARE / numbers::count(known.max(MIN_ASSUMED_MEMBERS))
    }

    /// Returns the number of nodes whose heartbeat has not timed out, this one
    /// included.
    #[must_use]
    pub fn live_count(&self, now: ClockTime) -> usize {
        let live = self
            .others
            .values()
            .filter(|known| now.since(known.last_heard) < HEARTBEAT_TIMEOUT);
        live.count() + 1
    }

    /// Returns the address of another member.
    #[must_use]
    pub fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        self.others.get(node).map(|known| known.member.address)
    }

    /// Returns the incarnation of a member, this node included.
    #[must_use]
    pub fn incarnation_of(&self, node: &NodeId) -> Option<IncarnationNumber> {
        if *node == self.own.node {
            return Some(self.own.incarnation);
        }
        self.others.get(node).map(|known| known.member.incarnation)
    }

    /// Chooses another member at random to gossip with. Members whose heartbeat
    /// has timed out are included, so that the end of a network partition is
    /// detected.
    #[must_use]
    pub fn random_peer(&self, rng: &mut Rng) -> Option<(NodeId, SocketAddr)> {
        if self.others.is_empty() {
            return None;
        }
        let index = rng.usize(0..self.others.len());
        let (node, known) = self.others.iter().nth(index)?;
        Some((node.clone(), known.member.address))
    }
}
