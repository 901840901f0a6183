use std::{future::Future, sync::Arc};

use http_types::Response;

use super::IncomingCall;

/// The part of a stand-in that differs from kind to kind.
pub trait CallHandler: Send + Sync + 'static {
    /// Answers one call.
    fn handle(self: Arc<Self>, call: IncomingCall) -> impl Future<Output = Response> + Send;
}
