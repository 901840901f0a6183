use super::PoolIndex;
use crate::clock::TimeSpan;

/// Resources that one stage of a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageDemand {
    /// Pool that runs the stage.
    pub pool: PoolIndex,
    /// Predicted time from sending the call to its end: a learned quantile.
    pub time: TimeSpan,
    /// Work for the target: the mean time in execution.
    pub work: TimeSpan,
}
