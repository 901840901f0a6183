use crate::clock::TimeSpan;

/// Size of the token bucket that one node keeps for one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BucketSize {
    /// Rate that the node may use without a lease, in events per second.
    pub static_rate: f64,
    /// The node's share of the workspace's burst, in events.
    pub burst_share: f64,
    /// The bucket holds at most the tokens that the current rate yields in
    /// this time.
    pub burst_window: TimeSpan,
}
