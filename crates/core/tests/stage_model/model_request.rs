use std::sync::Arc;

use verbenahub_core::{
    clock::ClockTime,
    routes::GraphStage,
    staging::{GraphProgress, PathEstimate, SetNumber},
};

/// One request under way.
#[derive(Debug)]
pub struct ModelRequest {
    pub kind: usize,
    pub goal_at: ClockTime,
    pub dead_at: ClockTime,
    pub stages: Arc<[GraphStage]>,
    pub progress: GraphProgress,
    pub estimate: PathEstimate,
    /// Collector of each stage.
    pub shards: Vec<usize>,
    pub is_first: bool,
    pub is_over: bool,
    /// Where its sets wait: stage, service, collector, set.
    pub sets: Vec<(usize, usize, SetNumber)>,
}
