use serde::{Deserialize, Serialize};

use crate::{clock::TimeSpan, ids::NodeId, policy::WorkspaceHash};

/// A node's wish for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The workspace.
    pub workspace: WorkspaceHash,
    /// Events per second wanted beyond the kept share.
    pub wanted: f32,
    /// Single events wanted at once, for a node that sees the workspace rarely.
    pub tokens: u8,
}

/// The wishes of a node that go to one home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseBatch {
    /// The node that asks.
    pub holder: NodeId,
    /// What it asks for.
    pub asks: Vec<LeaseRequest>,
}

/// A lease.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The workspace.
    pub workspace: WorkspaceHash,
    /// Events per second, zero if there are none to give.
    pub rate: f32,
    /// Single events, to be used at any time.
    pub tokens: u8,
}

/// The answer of a home.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The leases.
    pub grants: Vec<LeaseGrant>,
    /// Their life, from the moment when the holder asked.
    pub span: TimeSpan,
}
