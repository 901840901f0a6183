use std::sync::Arc;

use verbenahub_core::{
    clock::ClockTime,
    routes::GraphStage,
    staging::{GraphProgress, PathEstimate, SetNumber},
};

/// A simulated request.
#[derive(Debug)]
pub struct SimulatedRequest {
    pub kind: usize,
    pub goal_at: ClockTime,
    pub deadline: ClockTime,
    pub stages: Arc<[GraphStage]>,
    pub progress: GraphProgress,
    pub estimate: PathEstimate,
    /// Index of the collector of each stage.
    pub shards: Vec<usize>,
    pub is_refusable: bool,
    pub is_finished: bool,
    /// Its offered sets: service, collector and number of each.
    pub sets: Vec<(usize, usize, SetNumber)>,
}
