opaque_name! {
    /// Name of an availability zone.
    ZoneName, "zone name"
}
