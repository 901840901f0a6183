use std::net::TcpListener;

use smol::Async;
use verbenahub_platform::paths;

use super::{Shared, accept_each};
use crate::http::{HeaderList, HttpStream, ResponseHead};

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// HTTP server for the load balancer's readiness checks: responds with 200 while
/// the node is ready for new connections, else with 503.
#[derive(Clone, Debug)]
pub struct ReadinessListener {
    shared: Shared,
}

impl ReadinessListener {
    /// Creates the server.
    #[must_use]
    pub const fn new(shared: Shared) -> Self {
        Self { shared }
    }

    /// Serves requests until the future is dropped.
    pub async fn run(self, listener: Async<TcpListener>) {
        accept_each(&self.shared, "ready", listener, |stream| {
            let server = self.clone();
            self.shared
                .tasks
                .spawn(async move { server.serve(stream).await });
        })
        .await;
    }

    async fn serve(&self, mut stream: HttpStream) {
        while let Ok(Some(head)) = stream.read_request(MAX_HEAD_BYTES).await {
            let is_ready = self.shared.is_ready();
            self.shared.metrics.ready.set(i64::from(is_ready));
            let status = match (head.path() == paths::READY.as_bytes(), is_ready) {
                (false, _) => 404,
                (true, true) => 200,
                (true, false) => 503,
            };
            let mut headers = HeaderList::default();
            headers.push("Content-Length", "0");
            let response = ResponseHead::encode(status, b"Answer", &headers);
            if stream.write(&response).await.is_err() || head.closes() {
                return;
            }
        }
    }
}
