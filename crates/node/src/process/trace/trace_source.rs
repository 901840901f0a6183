use opentelemetry::{
    Context, KeyValue,
    propagation::TextMapPropagator,
    trace::{SpanKind, TraceContextExt, Tracer, TracerProvider},
};
use opentelemetry_sdk::{
    Resource,
    propagation::TraceContextPropagator,
    trace::{Sampler, SdkTracer, SdkTracerProvider},
};
use verbenahub_core::ids::{NodeId, ZoneName};

use super::{HopSpan, OtlpExporter, TraceSink, trace_headers::TraceHeaders};

const SERVICE_NAME: &str = "verbenahubd";

/// Starts spans and hands the ended ones to the exporter.
#[derive(Debug)]
pub struct TraceSource {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

impl TraceSource {
    /// Starts a source that samples `share` of the requests that come without
    /// a trace context. Without a sink no span is recorded.
    #[must_use]
    pub fn start(node: &NodeId, zone: &ZoneName, share: f64, sink: Option<TraceSink>) -> Self {
        let resource = Resource::builder_empty()
            .with_service_name(SERVICE_NAME)
            .with_attribute(KeyValue::new("service.instance.id", node.to_string()))
            .with_attribute(KeyValue::new("cloud.availability_zone", zone.to_string()))
            .build();
        let mut builder = SdkTracerProvider::builder().with_resource(resource);
        builder = match sink {
            Some(sink) => builder
                .with_sampler(Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(
                    share,
                ))))
                .with_batch_exporter(OtlpExporter::new(sink)),
            None => builder.with_sampler(Sampler::AlwaysOff),
        };
        let provider = builder.build();
        let tracer = provider.tracer(SERVICE_NAME);
        Self { provider, tracer }
    }

    /// Starts the span of a call that came in with an optional `traceparent`.
    #[must_use]
    pub fn server_span(&self, name: &'static str, traceparent: Option<&str>) -> HopSpan {
        let headers = TraceHeaders {
            parent: traceparent.map(ToOwned::to_owned),
        };
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &headers);
        self.start_span(name, SpanKind::Server, &parent)
    }

    /// Starts the span of a call that goes out within `parent`.
    #[must_use]
    pub fn client_span(&self, name: String, parent: &HopSpan) -> HopSpan {
        self.start_span(name, SpanKind::Client, parent.context())
    }

    /// Exports all ended spans. Blocks, so call it when the process ends.
    pub fn shutdown(&self) {
        let _ = self.provider.shutdown();
    }

    fn start_span<Name>(&self, name: Name, kind: SpanKind, parent: &Context) -> HopSpan
    where
        Name: Into<std::borrow::Cow<'static, str>>,
    {
        let builder = self.tracer.span_builder(name).with_kind(kind);
        let span = self.tracer.build_with_context(builder, parent);
        HopSpan::new(parent.with_span(span))
    }
}
