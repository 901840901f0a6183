text_id! {
    /// Name of a pipeline, unique in the configuration.
    PipelineName, "pipeline name"
}
