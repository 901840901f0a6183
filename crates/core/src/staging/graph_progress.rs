use std::sync::Arc;

use super::PathEstimate;
use crate::{clock::ClockTime, ids::PoolName, routes::GraphStage};

/// Progress of one request through its graph of stages.
#[derive(Clone, Debug)]
pub struct GraphProgress {
    stages: Arc<[GraphStage]>,
    pieces: Vec<u32>,
    results: Vec<Option<Vec<String>>>,
    started: Vec<bool>,
    /// When the results of each stage expire at the targets that hold them.
    expiries: Vec<Option<ClockTime>>,
}

impl GraphProgress {
    /// Creates the progress of a request that needs `pieces` of each stage. A stage
    /// without pieces is skipped. Returns `None` if there is not one number for
    /// each stage.
    #[must_use]
    pub fn new(stages: Arc<[GraphStage]>, pieces: &[u32]) -> Option<Self> {
        if pieces.len() != stages.len() {
            return None;
        }
        let results = pieces
            .iter()
            .map(|count| (*count == 0).then(Vec::new))
            .collect();
        Some(Self {
            started: vec![false; stages.len()],
            expiries: vec![None; stages.len()],
            pieces: pieces.to_vec(),
            results,
            stages,
        })
    }

    /// Marks as started, and returns, the stages that may start now: their inputs
    /// are available and their results will be needed soon.
    pub fn take_ready(&mut self, estimate: &PathEstimate) -> Vec<usize> {
        let unfinished: Vec<usize> = (0..self.stages.len())
            .filter(|stage| self.results[*stage].is_none())
            .collect();
        let ready: Vec<usize> = (0..self.stages.len())
            .filter(|stage| estimate.is_due(*stage, &unfinished))
            .filter(|stage| !self.started[*stage] && self.results[*stage].is_none())
            .filter(|stage| {
                let mut needed = self.stages[*stage].after.iter();
                needed.all(|predecessor| self.results[*predecessor].is_some())
            })
            .collect();
        for stage in &ready {
            self.started[*stage] = true;
        }
        ready
    }

    /// Number of pieces of a stage.
    #[must_use]
    pub fn pieces(&self, stage: usize) -> u32 {
        self.pieces[stage]
    }

    /// Names of all results that a stage reads.
    #[must_use]
    pub fn inputs(&self, stage: usize) -> Vec<String> {
        let inputs = self.inputs_sized(stage);
        inputs.map(|(name, _)| name.to_owned()).collect()
    }

    /// Names of all results that a stage reads, with their approximate sizes in
    /// bytes.
    pub fn inputs_sized(&self, stage: usize) -> impl Iterator<Item = (&str, u64)> {
        let predecessors = self.stages[stage].after.iter();
        predecessors.flat_map(|predecessor| self.results_sized(*predecessor))
    }

    /// Records the results of a finished stage and when they expire.
    pub fn finish(&mut self, stage: usize, results: Vec<String>, expires: ClockTime) {
        self.results[stage] = Some(results);
        self.expiries[stage] = Some(expires);
    }

    /// Earliest expiry among the results that are still held.
    #[must_use]
    pub fn next_expiry(&self) -> Option<ClockTime> {
        let stages = self.results.iter().zip(&self.expiries);
        let held = stages
            .filter(|(results, _)| results.as_ref().is_some_and(|results| !results.is_empty()));
        held.filter_map(|(_, expiry)| *expiry).min()
    }

    /// Whether all stages are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.results.iter().all(Option::is_some)
    }

    /// Names of the results of all stages that no other stage depends on.
    #[must_use]
    pub fn final_results(&self) -> Vec<String> {
        let finals = self.final_results_sized();
        finals.map(|(name, _)| name.to_owned()).collect()
    }

    /// Names of the final results, with their approximate sizes in bytes.
    pub fn final_results_sized(&self) -> impl Iterator<Item = (&str, u64)> {
        let is_final =
            move |stage: &usize| !self.stages.iter().any(|other| other.after.contains(stage));
        let finals = (0..self.stages.len()).filter(is_final);
        finals.flat_map(|stage| self.results_sized(stage))
    }

    fn results_sized(&self, stage: usize) -> impl Iterator<Item = (&str, u64)> {
        let names = self.results[stage].iter().flatten();
        names.map(move |name| (name.as_str(), self.stages[stage].result_bytes))
    }

    /// Removes and returns the results that neither a stage nor the request itself
    /// needs any more, by the service of their stage.
    pub fn take_unneeded(&mut self) -> Vec<(PoolName, Vec<String>)> {
        let mut unneeded = Vec::new();
        for stage in 0..self.stages.len() {
            let mut dependents = (0..self.stages.len())
                .filter(|other| self.stages[*other].after.contains(&stage))
                .peekable();
            let is_final = dependents.peek().is_none();
            let is_unneeded = dependents.all(|other| self.results[other].is_some());
            if !is_final && is_unneeded {
                unneeded.extend(self.take_results(stage));
            }
        }
        unneeded
    }

    /// Removes and returns all results that are still held, by the service of their
    /// stage.
    pub fn take_all(&mut self) -> Vec<(PoolName, Vec<String>)> {
        let stages = 0..self.stages.len();
        stages
            .filter_map(|stage| self.take_results(stage))
            .collect()
    }

    fn take_results(&mut self, stage: usize) -> Option<(PoolName, Vec<String>)> {
        let results = std::mem::take(self.results[stage].as_mut()?);
        let service = self.stages[stage].service.clone();
        (!results.is_empty()).then_some((service, results))
    }

    /// Stages in the order in which the route declares them.
    #[must_use]
    pub fn stages(&self) -> &[GraphStage] {
        &self.stages
    }
}
