//! What lives for the process: threads, tasks, clock, logs, metrics and
//! traces.

pub mod admission;
pub mod limits;
pub mod trace;

mod growing_map;
mod internal_front;
mod logging;
mod metrics;
mod node_state;
mod placement_driver;
mod process_clock;
mod task_group;
mod thread_pool;
mod upkeep;

pub use self::{
    growing_map::GrowingMap,
    internal_front::InternalFront,
    logging::start_log,
    metrics::NodeMetrics,
    node_state::{NodeParts, NodeState},
    placement_driver::run_placement,
    process_clock::ProcessClock,
    task_group::TaskGroup,
    thread_pool::ThreadPool,
    upkeep::run_upkeep,
};
