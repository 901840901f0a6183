use super::{PromptPrefix, RouteObjective, RoutingMode};
use crate::{
    clock::TimeSpan,
    ids::{ModelName, TargetId},
};

/// What one call needs of a target.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'ask> {
    /// Seed of the random samples, such as a hash of request and attempt.
    pub seed: u64,
    /// How to choose.
    pub mode: RoutingMode,
    /// What to weigh more.
    pub objective: RouteObjective,
    /// Model that the target must be able to serve.
    pub model: Option<&'ask ModelName>,
    /// Prefixes of the prompt.
    pub prefix: &'ask PromptPrefix,
    /// Time that a target needs for the prompt when none of it is cached.
    pub prompt_time: TimeSpan,
    /// Targets that the request must not go to again.
    pub tried: &'ask [TargetId],
}
