use serde::{Deserialize, Serialize};

use crate::clock::TimeSpan;

/// Whether a request may be sent to a target that has named a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// The request may be sent after a wait, for which it has a reserved permit.
    Granted {
        /// Time until the request may be sent.
        wait: TimeSpan,
    },
    /// The request exceeds the limit.
    Denied {
        /// Time after which the sender should ask again.
        retry_after: TimeSpan,
    },
}
