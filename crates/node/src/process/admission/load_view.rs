use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    policy::{admission::PoolLoad, routing::TargetPool},
};

/// Load of a pool as this node sees it at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadView {
    /// What the slots of the pool follow.
    pub load: PoolLoad,
    /// Calls per slot, of all nodes.
    pub use_share: f64,
    /// Mean time in execution, without waiting, as the targets report it.
    pub service: Option<TimeSpan>,
}

impl LoadView {
    /// Sums up the usable targets of a pool that `nodes` nodes share.
    #[must_use]
    pub fn of(pool: &TargetPool, nodes: usize, now: ClockTime) -> Self {
        let load = pool.load(nodes, now);
        let flights = pool.targets().iter().map(|vm| vm.stats.in_flight());
        let own = f64::from(flights.sum::<u32>());
        let use_share = if load.capacity > 0.0 {
            (load.others + own) / load.capacity
        } else {
            0.0
        };
        Self {
            load,
            use_share,
            service: reported_service(pool),
        }
    }
}

/// Mean over the targets that report their time in execution.
fn reported_service(pool: &TargetPool) -> Option<TimeSpan> {
    let targets = pool.targets().iter();
    let times = targets.map(|vm| vm.stats.report().service_time().as_millis());
    let known: Vec<u64> = times.filter(|millis| *millis > 0).collect();
    let count = u64::try_from(known.len()).ok()?;
    let total: u64 = known.iter().sum();
    total.checked_div(count).map(TimeSpan::from_millis)
}
