use crate::ids::{NodeId, ZoneName};

/// The location of a node, and limits on the targets that it samples from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetMapConfig {
    /// The node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Maximum number of targets per pool in the node's zone that it samples from.
    pub same_zone_limit: usize,
    /// Maximum number of targets per pool in other zones that it samples from.
    pub other_zones_limit: usize,
}

/// Default of `same_zone_limit`.
const DEFAULT_SAME_ZONE_LIMIT: usize = 64;
/// Default of `other_zones_limit`.
const DEFAULT_OTHER_ZONES_LIMIT: usize = 16;

impl TargetMapConfig {
    /// Creates the configuration of a node with the default limits.
    #[must_use]
    pub const fn new(node: NodeId, zone: ZoneName) -> Self {
        Self {
            node,
            zone,
            same_zone_limit: DEFAULT_SAME_ZONE_LIMIT,
            other_zones_limit: DEFAULT_OTHER_ZONES_LIMIT,
        }
    }
}
