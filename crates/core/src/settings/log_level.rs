choice! {
    /// Minimum severity of the lines that are logged.
    LogLevel, "`error`, `warning`, `info`, `debug` and `trace`",
    /// Errors that need an operator.
    Error = "error",
    /// Errors that the node handles itself.
    Warning = "warning",
    /// State changes.
    #[default]
    Info = "info",
    /// Details of decisions.
    Debug = "debug",
    /// Details of each call.
    Trace = "trace",
}
