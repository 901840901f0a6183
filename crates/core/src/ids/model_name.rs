text_id! {
    /// Name of a model that an engine can load.
    ModelName, "model name"
}
