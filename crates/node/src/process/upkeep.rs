use std::{sync::Arc, time::Duration};

use smol::Timer;

use super::NodeState;

/// Interval at which admission follows the load of the pools.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Updates between two reviews of the targets' health.
const REVIEW_UPDATES: u32 = 10;
/// Updates after which old observations count half.
const FADE_UPDATES: u32 = 100;

/// Does the regular work of the policies, until it is cancelled.
pub async fn run_upkeep(node: Arc<NodeState>) {
    let mut count = 0_u32;
    loop {
        Timer::after(UPDATE_INTERVAL).await;
        count = count.wrapping_add(1);
        let map = node.targets.map();
        node.admission
            .update(&map, node.sharing_nodes(), node.now());
        if count.is_multiple_of(REVIEW_UPDATES) {
            review(&node);
        }
        if count.is_multiple_of(FADE_UPDATES) {
            fade(&node);
        }
    }
}

/// Ejects targets that are far slower than their pool.
fn review(node: &NodeState) {
    for (name, pool) in node.targets.map().pools() {
        for target in pool.eject_slow(node.now()).ejected {
            slog::warn!(node.log, "health: Slow target ejected.";
                "pool" => %name, "target" => %target);
        }
    }
}

fn fade(node: &NodeState) {
    node.admission.book().fade();
    for (_, pool) in node.targets.map().pools() {
        let stats = pool.stats();
        stats.latency.halve();
        stats.first_byte.halve();
        stats.chunk_interval.halve();
    }
}
