text_id! {
    /// Identifies a VM that runs the daemon and accepts requests. Stays the same
    /// across restarts.
    NodeId, "node id"
}
