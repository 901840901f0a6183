/// Load of a pool as seen by one node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Calls that its usable targets can run at once.
    pub capacity: f64,
    /// Estimated number of calls by other nodes at the targets.
    pub others: f64,
    /// Nodes that share the pool, this one included.
    pub nodes: f64,
}
