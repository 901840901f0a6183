use serde::{Deserialize, Serialize};

use crate::{clock::TimeSpan, ids::NodeId, policy::WorkspaceHash};

/// A node's request for a lease on the limit of one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The workspace.
    pub workspace: WorkspaceHash,
    /// Rate wanted in addition to the static share, in events per second.
    pub wanted: f32,
    /// Number of single tokens wanted, for a node that rarely sees the
    /// workspace.
    pub tokens: u8,
}

/// The requests of one node to one owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseBatch {
    /// The node that sends the requests.
    pub holder: NodeId,
    /// The requests.
    pub asks: Vec<LeaseRequest>,
}

/// A lease on the limit of one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The workspace.
    pub workspace: WorkspaceHash,
    /// Leased rate in events per second; zero if none is available.
    pub rate: f32,
    /// Number of single tokens granted, which do not expire.
    pub tokens: u8,
}

/// The owner's reply to a batch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The leases.
    pub grants: Vec<LeaseGrant>,
    /// Lifetime of the leases, counted from when the holder sent its request.
    pub span: TimeSpan,
}
