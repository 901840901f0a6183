use serde::{Deserialize, Serialize};
use verbenahub_core::{
    clock::TimeSpan,
    targets::{ColdNotice, LimitNotice},
};

/// Asks the node that grants the permits for a target for one. The answer is a
/// [`PermitReply`](super::PermitReply).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PermitQuery {
    /// The target and the limit that it has named, as the asking node knows them.
    pub notice: LimitNotice,
    /// Longest wait for the permit.
    pub patience: TimeSpan,
    /// How long the target stays cold as the asking node knows it, if it is cold.
    #[serde(default)]
    pub cold: Option<ColdNotice>,
}
