use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{IncarnationNumber, NodeId};

/// Identifies one incarnation of a node: one process, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IncarnationKey {
    /// The node.
    pub node: NodeId,
    /// Number of the incarnation. Must be unique among the incarnations of a node.
    pub incarnation: IncarnationNumber,
}

impl fmt::Display for IncarnationKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.node, self.incarnation)
    }
}
