use super::StageDemand;
use crate::{clock::ClockTime, policy::WorkspaceHash};

/// A request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestArrival<'arrival> {
    /// The workspace that pays for it.
    pub workspace: WorkspaceHash,
    /// When its whole answer must be there.
    pub deadline: ClockTime,
    /// Its stages in order.
    pub stages: &'arrival [StageDemand],
}
