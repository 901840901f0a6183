use crate::{
    clock::ClockTime,
    ids::{TargetId, ZoneName},
};

/// What a target is needed for.
#[derive(Clone, Copy, Debug)]
pub struct TargetCriteria<'a> {
    /// Time of the choice.
    pub now: ClockTime,
    /// Targets that the request was sent to before.
    pub tried: &'a [TargetId],
    /// Zone in which the work is best done, if that matters.
    pub zone: Option<&'a ZoneName>,
    /// Hash of what a target may hold in memory from earlier requests.
    pub affinity: Option<u64>,
    /// Random number, for targets that look alike.
    pub seed: u64,
}
