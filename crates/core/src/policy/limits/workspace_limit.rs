use crate::units::RateLimit;

/// The rate limit of one workspace across all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceLimit {
    /// Requests per second.
    pub rate: RateLimit,
    /// Number of requests that may arrive at once.
    pub burst: u32,
}
