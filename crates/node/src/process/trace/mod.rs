//! Traces: a span for each hop, exported as OTLP in JSON.

mod hop_span;
mod span_exporter;
mod trace_headers;
mod trace_source;

pub use self::{
    hop_span::HopSpan,
    span_exporter::{OtlpExporter, TraceSink},
    trace_source::TraceSource,
};
