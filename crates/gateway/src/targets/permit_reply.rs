use serde::{Deserialize, Serialize};
use verbenahub_core::targets::PermitDecision;

/// Answer to a [`PermitQuery`](super::PermitQuery).
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum PermitReply {
    /// The decision.
    Decided(PermitDecision),
    /// The asked node does not grant permits for the target.
    NotOwner,
}
