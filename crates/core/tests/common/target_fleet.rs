//! Target pools for benchmarks and memory measurements.

use verbenahub_core::{
    ids::{NodeId, PoolName, TargetId, ZoneName},
    policy::routing::{TargetEntry, TargetMap, TargetMapConfig},
    protocol::{VmEntry, VmRole, VmState},
};

/// Number of availability zones that the targets are spread over.
const ZONE_COUNT: usize = 13;

/// Builds a map of one pool with `size` targets in 13 availability zones.
pub fn target_map(size: usize) -> TargetMap {
    let zone = ZoneName::new("zone-0").unwrap();
    let rule = TargetMapConfig::new(NodeId::new("node-0").unwrap(), zone);
    TargetMap::build(&rule, (0..size).map(target_entry), &TargetMap::default())
}

fn target_entry(index: usize) -> TargetEntry {
    TargetEntry {
        target: TargetId::new(&format!("target-{index}")).unwrap(),
        entry: VmEntry {
            role: VmRole::Target,
            address: "127.0.0.1:80".parse().unwrap(),
            region: "south".parse().unwrap(),
            zone: ZoneName::new(&format!("zone-{}", index % ZONE_COUNT)).unwrap(),
            state: VmState::Live,
            pool: Some(PoolName::new("engines").unwrap()),
            models: Vec::new(),
            checks_fence: false,
            capacity: Some(8),
        },
    }
}
