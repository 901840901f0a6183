//! Whole clusters: nodes, stand-ins and what is published.

mod cluster_plan;
mod feed_process;
mod node_process;
mod running_cluster;
mod sample_records;
mod standin_process;
mod target_pool;
mod target_process;

pub use self::{
    cluster_plan::{ClusterPlan, PoolArguments},
    feed_process::FeedProcess,
    node_process::NodeProcess,
    running_cluster::RunningCluster,
    sample_records::SampleRecord,
    standin_process::StandinProcess,
    target_pool::TargetPool,
    target_process::TargetProcess,
};
