choice! {
    /// Format of the log output.
    LogFormat, "`human` and `json`",
    /// Human-readable lines.
    #[default]
    Human = "human",
    /// One JSON object per line.
    Json = "json",
}
