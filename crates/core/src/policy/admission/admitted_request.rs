use super::StageDemand;
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::WorkspaceHash,
};

/// State of the call for a request's current stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallPhase {
    /// No slot was requested yet.
    NotStarted,
    /// Queued for a slot.
    Waiting,
    /// Holds a slot.
    Running,
}

/// An admitted request in progress.
#[derive(Clone, Debug)]
pub(super) struct AdmittedRequest {
    pub(super) workspace: WorkspaceHash,
    pub(super) deadline: ClockTime,
    pub(super) stages: Vec<StageDemand>,
    pub(super) current_stage: usize,
    pub(super) phase: CallPhase,
}

impl AdmittedRequest {
    /// Demand of the current stage, or `None` when all stages are done.
    pub(super) fn current_demand(&self) -> Option<StageDemand> {
        self.stages.get(self.current_stage).copied()
    }

    /// Latest time at which the current stage can start for the request to meet
    /// its deadline.
    pub(super) fn latest_start(&self) -> ClockTime {
        let remaining = self.stages.iter().skip(self.current_stage);
        let needed = remaining.fold(TimeSpan::ZERO, |sum, stage| sum + stage.time);
        self.deadline - needed
    }
}
