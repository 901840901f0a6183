use crate::ids::{NodeId, ZoneName};

/// How a node sees the targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetMapConfig {
    /// The node.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Targets of a pool in the node's zone that it samples from, at most.
    pub near_limit: usize,
    /// Targets of a pool in other zones that it samples from, at most.
    pub far_limit: usize,
}

/// Default for the targets sampled in the node's zone.
const NEAR_LIMIT: usize = 64;
/// Default for the targets sampled in other zones.
const FAR_LIMIT: usize = 16;

impl TargetMapConfig {
    /// The rule of a node with the default limits.
    #[must_use]
    pub const fn new(node: NodeId, zone: ZoneName) -> Self {
        Self {
            node,
            zone,
            near_limit: NEAR_LIMIT,
            far_limit: FAR_LIMIT,
        }
    }
}
