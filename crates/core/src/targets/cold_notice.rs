use serde::{Deserialize, Serialize};

use crate::{clock::TimeSpan, ids::StoreRevision};

/// How long a run of a target stays cold as one node knows it, in messages to other
/// nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNotice {
    /// Time until the target is warm.
    pub left: TimeSpan,
    /// Revision of the record or of the end of the evacuation from which the node
    /// knows it.
    pub revision: StoreRevision,
}
