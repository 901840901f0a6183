opaque_name! {
    /// Name of a pool, a group of interchangeable targets.
    ///
    /// The gateway and its configuration call a pool a service. A field named
    /// `service` of this type holds the name of a pool.
    PoolName, "pool name"
}
