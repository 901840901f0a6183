use serde::{Deserialize, Serialize};
use verbenahub_core::{clock::TimeSpan, targets::LimitNotice};

/// Asks the node that grants the permits for a target for one. The answer is a
/// [`PermitReply`](super::PermitReply).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitQuery {
    /// The target and its limit as the asking node knows them.
    pub notice: LimitNotice,
    /// Longest wait for the permit.
    pub patience: TimeSpan,
}
