use std::fmt::Display;

use opentelemetry::{
    Context, KeyValue,
    propagation::TextMapPropagator,
    trace::{Status, TraceContextExt},
};
use opentelemetry_sdk::propagation::TraceContextPropagator;

use super::trace_headers::TraceHeaders;

/// The span of one hop. It ends when it is dropped.
#[derive(Clone, Debug)]
pub struct HopSpan {
    context: Context,
}

impl HopSpan {
    pub(super) const fn new(context: Context) -> Self {
        Self { context }
    }

    pub(super) const fn context(&self) -> &Context {
        &self.context
    }

    /// Value of the `traceparent` header for calls made within this hop.
    #[must_use]
    pub fn traceparent(&self) -> Option<String> {
        let mut headers = TraceHeaders::default();
        TraceContextPropagator::new().inject_context(&self.context, &mut headers);
        headers.parent
    }

    /// Adds an attribute.
    pub fn set<Value>(&self, name: &'static str, value: Value)
    where
        Value: Display,
    {
        let span = self.context.span();
        if span.is_recording() {
            span.set_attribute(KeyValue::new(name, value.to_string()));
        }
    }

    /// Marks the hop as failed.
    pub fn fail<Value>(&self, reason: Value)
    where
        Value: Display,
    {
        self.context
            .span()
            .set_status(Status::error(reason.to_string()));
    }

    /// Ends the span now.
    pub fn end(&self) {
        self.context.span().end();
    }
}
