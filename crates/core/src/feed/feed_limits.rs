/// Limits on the size of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedLimits {
    /// Maximum size of all keys and values together, in bytes.
    pub total_bytes: usize,
    /// Maximum size of one value, in bytes.
    pub value_bytes: usize,
    /// Maximum number of tombstones that are kept.
    pub tombstones: usize,
}

impl Default for FeedLimits {
    fn default() -> Self {
        Self {
            total_bytes: 24 * 1024 * 1024,
            value_bytes: 1024 * 1024,
            tombstones: 4_096,
        }
    }
}
