use super::StageDemand;
use crate::{clock::ClockTime, policy::WorkspaceHash};

/// A request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestArrival<'arrival> {
    /// The workspace that the request is charged to.
    pub workspace: WorkspaceHash,
    /// When the complete answer is due.
    pub deadline: ClockTime,
    /// Its stages in order of execution.
    pub stages: &'arrival [StageDemand],
}
