use super::{CostWeight, StageKind};
use crate::{
    clock::TimeSpan,
    ids::{PoolName, StageName},
};

/// One stage of a pipeline.
#[derive(Clone, Debug, PartialEq)]
pub struct StageSpec {
    /// Name of the stage, unique in its pipeline.
    pub name: StageName,
    /// What the stage does.
    pub kind: StageKind,
    /// Pool of targets that run the stage.
    pub pool: PoolName,
    /// Whether the stage may run more than once for one request.
    pub idempotent: bool,
    /// Maximum time of one attempt, if limited in addition to the deadline.
    pub timeout: Option<TimeSpan>,
    /// Cost of one second of a target's time.
    pub cost_weight: CostWeight,
}
