use super::PoolIndex;
use crate::clock::TimeSpan;

/// What one stage of a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageDemand {
    /// Pool that runs the stage.
    pub pool: PoolIndex,
    /// Time in which the stage is thought to be done once a target has it: a
    /// learned quantile.
    pub time: TimeSpan,
    /// Work for the target: the mean time in execution.
    pub work: TimeSpan,
}
