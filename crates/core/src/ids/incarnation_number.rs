number_id! {
    /// Distinguishes successive runs of a process that has the same identifier.
    IncarnationNumber, "incarnation number"
}
