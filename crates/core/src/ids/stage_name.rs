text_id! {
    /// Name of a stage, unique in its pipeline.
    StageName, "stage name"
}
