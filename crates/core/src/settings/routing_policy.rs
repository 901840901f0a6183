choice! {
    /// How a node selects the target of a stage.
    RoutingPolicy, "`adaptive`, `round-robin` and `least-in-flight`",
    /// By predicted completion time, based on load, cache, distance and health.
    #[default]
    Adaptive = "adaptive",
    /// Each target in turn.
    RoundRobin = "round-robin",
    /// The target with the fewest calls in flight from this node.
    LeastInFlight = "least-in-flight",
}
