use crate::{
    clock::ClockTime,
    ids::{TargetId, ZoneName},
};

/// What to consider when a target is chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct TargetCriteria<'a> {
    /// Time of the choice.
    pub now: ClockTime,
    /// Targets that the request was sent to before.
    pub tried: &'a [TargetId],
    /// Preferred availability zone, if any.
    pub zone: Option<&'a ZoneName>,
    /// Hash of the prompt prefix or other data that a target may have cached from
    /// earlier requests.
    pub affinity: Option<u64>,
    /// Random seed for the choice among similar targets.
    pub seed: u64,
}
