number_id! {
    /// Position of a change in a feed of the platform. Increases with each change.
    RevisionNumber, "revision number"
}
