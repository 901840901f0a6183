use opentelemetry::propagation::{Extractor, Injector};
use verbenahub_core::protocol::headers;

/// Carries the W3C trace context from and to one HTTP header.
#[derive(Clone, Debug, Default)]
pub(super) struct TraceHeaders {
    pub(super) parent: Option<String>,
}

impl Extractor for TraceHeaders {
    fn get(&self, key: &str) -> Option<&str> {
        if key == headers::TRACEPARENT {
            self.parent.as_deref()
        } else {
            None
        }
    }

    fn keys(&self) -> Vec<&str> {
        vec![headers::TRACEPARENT]
    }
}

impl Injector for TraceHeaders {
    fn set(&mut self, key: &str, value: String) {
        if key == headers::TRACEPARENT {
            self.parent = Some(value);
        }
    }
}
