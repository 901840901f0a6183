use serde::{Deserialize, Serialize};

use crate::{
    clock::TimeSpan,
    ids::{IncarnationNumber, NodeId},
};

/// Records that a process handed its open tickets over to another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// Node of the process that stopped.
    pub node: NodeId,
    /// Incarnation of the process that stopped.
    pub incarnation: IncarnationNumber,
    /// Node of the process that took the tickets over.
    pub successor: NodeId,
    /// Incarnation of the process that took the tickets over.
    pub successor_incarnation: IncarnationNumber,
    /// Remaining lifetime of the record.
    pub expires_in: TimeSpan,
}
