use std::{collections::BTreeMap, net::SocketAddr};

use fastrand::Rng;

use super::FleetMember;
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::NodeId,
};

/// Silence after which a member no longer owns shared work. Gossip reaches all
/// members within about three rounds of a second.
const SILENCE_LIMIT: TimeSpan = TimeSpan::from_millis(4_500);
/// Time for which a member that didn't answer a call owns no work, unless it
/// is heard of again.
const UNREACHED_SPAN: TimeSpan = TimeSpan::from_millis(1_500);
/// Size against the largest VM from which a node carries work for others.
const STRONG_SHARE: f64 = 0.5;
/// Rounds of gossip after which a node knows the fleet, also if all nodes have
/// started together: three seconds of hurried rounds.
const ESTABLISHED_ROUNDS: u64 = 15;
/// Silence after which a member is forgotten.
const FORGET_SPAN: TimeSpan = TimeSpan::from_secs(60);

/// One known member.
#[derive(Clone, Debug)]
struct KnownMember {
    member: FleetMember,
    heard: ClockTime,
    unreached_until: ClockTime,
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

    /// This node.
    #[must_use]
    pub const fn own(&self) -> &FleetMember {
        &self.own
    }

    /// Says whether this node takes part in shared work.
    pub const fn set_active(&mut self, active: bool) {
        self.own.active = active;
    }

    /// Counts a round of gossip and returns what to tell.
    pub fn start_round(&mut self, now: ClockTime) -> Vec<FleetMember> {
        self.own.heartbeat += 1;
        self.others
            .retain(|_, known| now.since(known.heard) < FORGET_SPAN);
        self.members()
    }

    /// All members, this one first.
    #[must_use]
    pub fn members(&self) -> Vec<FleetMember> {
        let others = self.others.values().map(|known| known.member.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// Takes in what another node tells.
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
                        heard: now,
                        unreached_until: ClockTime::ZERO,
                    },
                );
                continue;
            };
            let rank = |member: &FleetMember| (member.incarnation, member.heartbeat);
            if rank(&member) > rank(&known.member) {
                known.member = member;
                known.heard = now;
            }
        }
    }

    /// Notes that a member didn't answer a call.
    pub fn record_unreachable(&mut self, node: &NodeId, now: ClockTime) {
        if let Some(known) = self.others.get_mut(node) {
            known.unreached_until = now + UNREACHED_SPAN;
        }
    }

    /// Members that take part in shared work, with their weights, in order.
    #[must_use]
    pub fn active_members(&self, now: ClockTime) -> Vec<(NodeId, f64)> {
        let others = self.others.values().filter(|known| {
            let is_heard = now.since(known.heard) < SILENCE_LIMIT;
            known.member.active && is_heard && known.unreached_until <= now
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

    /// Members that carry work for others: those whose VMs are not much smaller
    /// than the largest. A small VM that collects for a whole service is behind
    /// at the first burst.
    #[must_use]
    pub fn eligible_members(&self, now: ClockTime) -> Vec<(NodeId, f64)> {
        let mut members = self.active_members(now);
        let largest = members
            .iter()
            .map(|(_, weight)| *weight)
            .fold(0.0, f64::max);
        members.retain(|(_, weight)| *weight >= largest * STRONG_SHARE);
        members
    }

    /// Whether this node takes part in shared work and knows one that has done
    /// so for long enough to know the fleet.
    #[must_use]
    pub fn knows_established_member(&self) -> bool {
        let mut others = self.others.values();
        let is_established = |known: &KnownMember| {
            known.member.active && known.member.heartbeat >= ESTABLISHED_ROUNDS
        };
        self.own.active && others.any(is_established)
    }

    /// Number of nodes that seem to live, this one included.
    #[must_use]
    pub fn live_count(&self, now: ClockTime) -> usize {
        let live = self
            .others
            .values()
            .filter(|known| now.since(known.heard) < SILENCE_LIMIT);
        live.count() + 1
    }

    /// Address of a member.
    #[must_use]
    pub fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        self.others.get(node).map(|known| known.member.address)
    }

    /// Another member to talk to, chosen at random. Silent ones stay in the
    /// draw, so that a healed partition is noticed.
    #[must_use]
    pub fn random_peer(&self, rng: &mut Rng) -> Option<(NodeId, SocketAddr)> {
        if self.others.is_empty() {
            return None;
        }
        let place = rng.usize(0..self.others.len());
        let (node, known) = self.others.iter().nth(place)?;
        Some((node.clone(), known.member.address))
    }
}
