use super::StageDemand;
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::WorkspaceHash,
};

/// Where the call of the present stage stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallPhase {
    /// Not asked for yet.
    Planned,
    /// Waits for a slot.
    Waiting,
    /// Holds a slot.
    Running,
}

/// A request under way.
#[derive(Clone, Debug)]
pub(super) struct EntryState {
    pub(super) workspace: WorkspaceHash,
    pub(super) deadline: ClockTime,
    pub(super) stages: Vec<StageDemand>,
    pub(super) stage: usize,
    pub(super) phase: CallPhase,
}

impl EntryState {
    /// The present stage, or nothing when all are done.
    pub(super) fn demand(&self) -> Option<StageDemand> {
        self.stages.get(self.stage).copied()
    }

    /// When the present stage must start at the latest.
    pub(super) fn latest_start(&self) -> ClockTime {
        let rest = self.stages.iter().skip(self.stage);
        let needed = rest.fold(TimeSpan::ZERO, |sum, stage| sum + stage.time);
        self.deadline - needed
    }
}
