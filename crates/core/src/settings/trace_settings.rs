use std::{net::SocketAddr, path::PathBuf};

use super::SampleShare;
use crate::findings::TableReader;

/// Table `[trace]`: export of traces. Without a collector or a file, no traces
/// are exported.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TraceSettings {
    /// Address of an OTLP/HTTP collector.
    pub collector: Option<SocketAddr>,
    /// File to which spans are appended as OTLP JSON lines.
    pub path: Option<PathBuf>,
    /// Sampling ratio.
    pub sample: SampleShare,
}

impl TraceSettings {
    /// Reads the table; errors are reported to the reader's log.
    pub(super) fn read(mut reader: TableReader<'_>) -> Self {
        let settings = Self {
            collector: reader.optional_text("collector").map(|field| field.value),
            path: reader.optional("path").map(|field| field.value),
            sample: reader
                .optional("sample")
                .map_or_else(SampleShare::default, |field| field.value),
        };
        reader.finish();
        settings
    }
}
