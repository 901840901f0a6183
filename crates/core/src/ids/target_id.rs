text_id! {
    /// Identifies a target, a backend that runs a stage.
    TargetId, "target id"
}
