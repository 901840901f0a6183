use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use super::{MemberCondition, MemberRecord, Readiness, rendezvous, timings::PAUSE_THRESHOLD};
use crate::{
    clock::{ClockTime, TimeSpan},
    feed::FeedVersion,
    ids::{IncarnationNumber, NodeId, ZoneName},
};

/// Immutable snapshot of what a node knows about its cluster.
#[derive(Clone, Debug)]
pub struct ClusterView {
    /// The known nodes.
    pub members: Arc<MemberList>,
    /// Readiness of this node when the view was created. Callers use
    /// [`ClusterView::readiness_at`] instead, which accounts for the view's age.
    pub readiness: Readiness,
    /// When the view was created.
    pub created_at: ClockTime,
    /// State of the configuration feed.
    pub config: FeedSummary,
    /// State of the membership list feed.
    pub vms: FeedSummary,
}

/// The nodes known to this node, itself included.
#[derive(Clone, Debug)]
pub struct MemberList {
    /// Identifier of this node.
    pub own: NodeId,
    /// Incarnation of this node's process.
    pub incarnation: IncarnationNumber,
    /// Availability zone of this node.
    pub zone: ZoneName,
    /// Live nodes sorted by identifier, including this one unless it is leaving.
    pub live: Vec<ViewMember>,
    /// Nodes that are suspect, leaving or dead, sorted by identifier.
    pub others: Vec<ViewMember>,
    /// Number of other nodes that the membership list names.
    pub listed: usize,
    hashes: Vec<u64>,
    successors: BTreeMap<(NodeId, IncarnationNumber), (NodeId, IncarnationNumber)>,
}

/// A node in a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewMember {
    /// Identifier of the node.
    pub node: NodeId,
    /// Incarnation of the node's process; zero if it was never heard from.
    pub incarnation: IncarnationNumber,
    /// Internal address of the node.
    pub address: SocketAddr,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: &'static str,
}

/// State of this node's replica of a feed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedSummary {
    /// Version of the replica.
    pub version: FeedVersion,
    /// Age of the most recent confirmation by the platform, if there was one.
    pub confirmed_ago: Option<TimeSpan>,
    /// Whether the node is one of its availability zone's assigned readers.
    pub reader: bool,
}

impl ClusterView {
    /// Returns the node's readiness at `now`. A ready view that is older than
    /// the pause threshold means that the process was paused, so the node counts
    /// as resuming.
    #[must_use]
    pub fn readiness_at(&self, now: ClockTime) -> Readiness {
        if self.readiness.is_ready() && now.since(self.created_at) > PAUSE_THRESHOLD {
            return Readiness::Resuming;
        }
        self.readiness
    }
}

impl ViewMember {
    /// Creates an entry. `listed_leaving` means that the membership list marks
    /// the node as leaving.
    pub(super) fn new(record: &MemberRecord, listed_leaving: bool) -> Self {
        let state = match record.rank.condition {
            MemberCondition::Dead => "dead",
            _ if record.rank.leaving || listed_leaving => "leaving",
            MemberCondition::Suspect => "suspect",
            MemberCondition::Alive => "alive",
        };
        Self {
            node: record.node.clone(),
            incarnation: record.rank.incarnation,
            address: record.address,
            zone: record.zone.clone(),
            state,
        }
    }
}

impl MemberList {
    /// Creates a list. `live` must be sorted by identifier.
    pub(super) fn new(
        own: &ViewMember,
        live: Vec<ViewMember>,
        others: Vec<ViewMember>,
        listed: usize,
    ) -> Self {
        let hash = |member: &ViewMember| rendezvous::text_hash(member.node.as_str());
        Self {
            own: own.node.clone(),
            incarnation: own.incarnation,
            zone: own.zone.clone(),
            hashes: live.iter().map(hash).collect(),
            live,
            others,
            listed,
            successors: BTreeMap::new(),
        }
    }

    /// Whether this node is leaving.
    #[must_use]
    pub fn own_leaving(&self) -> bool {
        self.others.iter().any(|member| member.node == self.own)
    }

    /// Adds the known handovers.
    pub(super) fn with_successors(
        mut self,
        successors: BTreeMap<(NodeId, IncarnationNumber), (NodeId, IncarnationNumber)>,
    ) -> Self {
        self.successors = successors;
        self
    }

    /// Returns the live node that owns a key.
    #[must_use]
    pub fn owner(&self, key: &str) -> Option<&ViewMember> {
        let position = rendezvous::owner(rendezvous::text_hash(key), &self.hashes)?;
        self.live.get(position)
    }

    /// Returns up to `count` live nodes with the highest scores for a key,
    /// highest first.
    #[must_use]
    pub fn owners(&self, key: &str, count: usize) -> Vec<&ViewMember> {
        let key_hash = rendezvous::text_hash(key);
        let positions = rendezvous::owners(key_hash, &self.hashes, count);
        let members = positions.into_iter();
        members
            .filter_map(|position| self.live.get(position))
            .collect()
    }

    /// Whether this node owns a key.
    #[must_use]
    pub fn owns(&self, key: &str) -> bool {
        self.owner(key)
            .is_some_and(|member| member.node == self.own)
    }

    /// Returns a node by its identifier, regardless of its state.
    #[must_use]
    pub fn get(&self, node: &NodeId) -> Option<&ViewMember> {
        let live = self.live.binary_search_by(|member| member.node.cmp(node));
        if let Ok(position) = live {
            return self.live.get(position);
        }
        self.others.iter().find(|member| member.node == *node)
    }

    /// Returns the node and incarnation that took over the tickets of a stopped
    /// process, if a handover is known.
    #[must_use]
    pub fn successor(
        &self,
        node: &NodeId,
        incarnation: IncarnationNumber,
    ) -> Option<&(NodeId, IncarnationNumber)> {
        self.successors.get(&(node.clone(), incarnation))
    }
}
