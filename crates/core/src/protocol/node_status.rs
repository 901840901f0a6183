use serde::{Deserialize, Serialize};

use crate::{
    ids::{IncarnationNumber, NodeId, RevisionNumber, TargetId, ZoneName},
    protocol::VmState,
};

/// Response body of `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Id of the node.
    pub node: NodeId,
    /// Incarnation number of the running process.
    pub incarnation: IncarnationNumber,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Whether the node accepts requests.
    pub ready: bool,
    /// Why the node accepts no requests.
    pub reason: Option<String>,
    /// Status of the configuration feed.
    pub config: FeedStatus,
    /// Status of the membership feed.
    pub vms: FeedStatus,
    /// The other nodes known to this node.
    pub members: Vec<MemberStatus>,
    /// The targets known to this node.
    pub targets: Vec<TargetStatus>,
    /// Findings about records, each as text with its location.
    pub findings: Vec<String>,
}

/// Status of one feed at a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedStatus {
    /// Revision up to which the node has all changes.
    pub revision: RevisionNumber,
    /// Digest of all entries that the node holds.
    pub digest: u64,
    /// Milliseconds since the most recent confirmation by the platform that is
    /// known to the node.
    pub confirmed_ago_ms: u64,
    /// Whether the node reads the feed from the platform itself.
    pub reader: bool,
}

/// Another node, as seen by the reporting node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id of the other node.
    pub node: NodeId,
    /// Incarnation number of the other node.
    pub incarnation: IncarnationNumber,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
}

/// A target, as seen by the reporting node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Id of the target.
    pub target: TargetId,
    /// State of the target in the membership list.
    pub state: VmState,
    /// Whether the node sends calls to the target.
    pub usable: bool,
    /// Calls in flight from the reporting node.
    pub in_flight: u32,
}
