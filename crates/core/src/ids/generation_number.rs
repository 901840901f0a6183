number_id! {
    /// Version of one record. Increases with each new version of that record.
    GenerationNumber, "generation number"
}
