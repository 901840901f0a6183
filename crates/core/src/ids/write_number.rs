number_id! {
    /// Number of a write of a target among those of its run.
    WriteNumber, "write number"
}
