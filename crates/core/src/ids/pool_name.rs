text_id! {
    /// Name of a pool, a group of interchangeable targets.
    PoolName, "pool name"
}
