number_id! {
    /// Counts how often the platform's store was restored from a copy. A store
    /// that reports no era was never restored.
    EraNumber, "era number"
}
