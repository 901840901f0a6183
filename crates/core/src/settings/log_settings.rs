use super::{LogFormat, LogLevel};
use crate::findings::TableReader;

/// Table `[log]`: log output of the daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Minimum severity of the lines that are logged.
    pub level: LogLevel,
    /// Format of the log output.
    pub format: LogFormat,
}

impl LogSettings {
    /// Reads the table; errors are reported to the reader's log.
    pub(super) fn read(mut reader: TableReader<'_>) -> Self {
        let settings = Self {
            level: reader.text_or_default("level"),
            format: reader.text_or_default("format"),
        };
        reader.finish();
        settings
    }
}
