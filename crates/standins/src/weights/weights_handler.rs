use std::sync::{Arc, Mutex, PoisonError};

use http_types::{Method, Response, StatusCode};
use verbenahub_core::units::{ByteSize, RateLimit};

use super::TokenBucket;
use crate::server::{CallHandler, IncomingCall, ServerContext, reply};

/// Path of the weights: `/v1/weights/{model}/{version}`.
pub const WEIGHTS_PATH: &str = "/v1/weights/";

/// Answers the calls to the weight store.
#[derive(Debug)]
pub struct WeightsHandler {
    context: ServerContext,
    bucket: Mutex<TokenBucket>,
    size: ByteSize,
}

impl WeightsHandler {
    /// Creates a store that is idle.
    #[must_use]
    pub fn new(context: ServerContext, rate: RateLimit, size: ByteSize) -> Self {
        Self {
            context,
            bucket: Mutex::new(TokenBucket::new(rate)),
            size,
        }
    }

    async fn weights(&self) -> Response {
        let taken = {
            let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
            bucket.take(self.context.clock.now())
        };
        if let Err(span) = taken {
            self.context.stats.add_refusal();
            return reply::refusal(StatusCode::TooManyRequests, span);
        }
        self.context.stats.add_run();
        self.context.switches.late().await;
        if self.context.switches.fails_next() {
            self.context.stats.add_failure();
            return reply::text(StatusCode::InternalServerError, "ordered to fail");
        }
        reply::bytes(vec![0; self.size.as_usize()])
    }
}

impl CallHandler for WeightsHandler {
    async fn handle(self: Arc<Self>, call: IncomingCall) -> Response {
        let named = call
            .path()
            .strip_prefix(WEIGHTS_PATH)
            .is_some_and(|name| name.split('/').count() == 2);
        match call.method() {
            Method::Get if named => self.weights().await,
            _ => reply::not_found(),
        }
    }
}
