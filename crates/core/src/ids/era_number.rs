number_id! {
    /// Counts how often the platform's store has come back from a copy. A store
    /// that doesn't tell has never done so.
    EraNumber, "era number"
}
