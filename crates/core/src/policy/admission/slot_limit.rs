use super::PoolLoad;

/// Lower bound of the limit, as a share of the pool's capacity divided equally
/// among the nodes.
const MIN_CAPACITY_SHARE: f64 = 1.0;
/// Slowdown of calls up to which the targets are taken to have no queue.
const SLOWDOWN_TOLERANCE: f64 = 1.2;
/// Smallest gradient: the largest reduction in one update, before smoothing.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of one update in the smoothed limit.
const SMOOTHING: f64 = 0.2;
/// Share of the limit that must be in use before the limit grows.
const GROWTH_UTILIZATION: f64 = 0.5;

/// Adaptive concurrency limit: how many calls of one node may be at the targets
/// of a pool at once.
///
/// Keeps calls queued on the nodes, where the call with the least slack goes
/// first, and the queues at the targets short. The limit follows the gradient
/// of the calls' slowdown: it grows by its square root while calls are not
/// slowed down, and shrinks in proportion to the slowdown. Nodes thereby find
/// their share of the pool without exchanging messages, and outdated load
/// reports do no harm. The limit never falls below an equal share of the pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotLimit {
    limit: f64,
}

impl Default for SlotLimit {
    fn default() -> Self {
        Self { limit: 1.0 }
    }
}

impl SlotLimit {
    /// Number of calls that may be at the targets, at least 1.
    #[must_use]
    pub const fn get(&self) -> f64 {
        self.limit
    }

    /// Adjusts the limit to the pool's `load`, while `running` calls of this
    /// node are at the targets and take `slowdown` times as long as their work.
    pub fn update(&mut self, load: &PoolLoad, running: f64, slowdown: f64) {
        let floor = (MIN_CAPACITY_SHARE * load.capacity / load.nodes.max(1.0)).max(1.0);
        let gradient = (SLOWDOWN_TOLERANCE / slowdown.max(1.0)).clamp(MIN_GRADIENT, 1.0);
        let growth = if running >= self.limit * GROWTH_UTILIZATION {
            self.limit.sqrt()
        } else {
            0.0
        };
        let wanted = self.limit * gradient + growth;
        let limit = self.limit + SMOOTHING * (wanted - self.limit);
        self.limit = limit.clamp(floor, load.capacity.max(floor) * 2.0);
    }
}
