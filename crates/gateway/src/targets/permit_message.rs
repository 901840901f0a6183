use serde::{Deserialize, Serialize};
use verbenahub_core::{
    clock::TimeSpan,
    ids::PoolName,
    targets::{LimitNotice, PermitDecision},
};

/// Asks the node that grants the permits for a target for one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitQuery {
    /// Service of the target.
    pub service: PoolName,
    /// The limit as the asking node knows it.
    pub notice: LimitNotice,
    /// Longest wait for the permit.
    pub patience: TimeSpan,
}

/// Answer to a [`PermitQuery`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum PermitReply {
    /// The decision.
    Decided(PermitDecision),
    /// The asked node does not grant permits for the target.
    NotOwner,
}
