use super::{RunningCluster, TargetPool};
use crate::caller::SamplePipeline;

/// What a cluster shall consist of.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Number of nodes.
    pub nodes: usize,
    /// Replicas of each pool.
    pub replicas: usize,
    /// Lag of the membership list, in milliseconds.
    pub membership_lag_ms: u64,
    /// Lines that are appended to the settings of each node.
    pub extra_settings: String,
    /// Pipelines that must be answered before the cluster counts as started.
    pub serves: Vec<SamplePipeline>,
    /// Arguments that are added for the targets of some pools.
    pub extra_arguments: Vec<PoolArguments>,
}

/// Arguments for the targets of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolArguments {
    /// The pool.
    pub pool: TargetPool,
    /// The arguments.
    pub arguments: Vec<String>,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            nodes: 3,
            replicas: 2,
            membership_lag_ms: 0,
            extra_settings: String::new(),
            serves: SamplePipeline::ALL.to_vec(),
            extra_arguments: Vec::new(),
        }
    }
}

impl ClusterPlan {
    /// Sets the number of nodes.
    #[must_use]
    pub fn nodes(mut self, nodes: usize) -> Self {
        self.nodes = nodes;
        self
    }

    /// Sets the number of replicas of each pool.
    #[must_use]
    pub fn replicas(mut self, replicas: usize) -> Self {
        self.replicas = replicas;
        self
    }

    /// Sets the pipelines that must be answered before the cluster counts as started.
    #[must_use]
    pub fn serves(mut self, pipelines: &[SamplePipeline]) -> Self {
        self.serves = pipelines.to_vec();
        self
    }

    /// Appends lines to the settings of each node.
    #[must_use]
    pub fn settings(mut self, lines: &str) -> Self {
        self.extra_settings.push_str(lines);
        self
    }

    /// Adds arguments for the targets of a pool.
    #[must_use]
    pub fn arguments(mut self, pool: TargetPool, arguments: &[&str]) -> Self {
        let arguments = arguments.iter().map(|text| (*text).to_owned()).collect();
        self.extra_arguments.push(PoolArguments { pool, arguments });
        self
    }

    /// Starts the cluster and waits until all nodes take requests.
    #[must_use]
    pub fn start(self) -> RunningCluster {
        RunningCluster::start(&self)
    }

    pub(super) fn arguments_of(&self, pool: TargetPool) -> Vec<String> {
        let own = self.extra_arguments.iter().filter(|own| own.pool == pool);
        own.flat_map(|own| own.arguments.clone()).collect()
    }
}
