text_id! {
    /// Name of a region.
    RegionName, "region name"
}
