use super::{PromptPrefix, RouteObjective, RoutingMode};
use crate::{
    clock::TimeSpan,
    ids::{ModelName, TargetId},
};

/// The requirements of one call on its target.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'req> {
    /// Seed of the random samples, such as a hash of the request and attempt.
    pub seed: u64,
    /// How the target is selected.
    pub mode: RoutingMode,
    /// What the adaptive mode optimizes for.
    pub objective: RouteObjective,
    /// Model that the target must be able to serve, if any.
    pub model: Option<&'req ModelName>,
    /// Prefix hashes of the prompt.
    pub prefix: &'req PromptPrefix,
    /// Time that a target needs to process the prompt if none of it is cached.
    pub prompt_time: TimeSpan,
    /// Targets that are excluded because the request has been sent to them.
    pub tried: &'req [TargetId],
}
