use std::net::TcpListener;

use smol::Async;
use verbenahub_platform::paths;

use super::{Shared, accept_each};
use crate::http::{HeaderList, HttpStream, ResponseHead};

/// Largest head of a question.
const HEAD_BYTES: usize = 8 << 10;

/// Tells the balancer whether the node takes new connections.
#[derive(Clone, Debug)]
pub struct ReadinessListener {
    shared: Shared,
}

impl ReadinessListener {
    /// Creates the front.
    #[must_use]
    pub const fn new(shared: Shared) -> Self {
        Self { shared }
    }

    /// Answers until the future is dropped.
    pub async fn run(self, listener: Async<TcpListener>) {
        accept_each(&self.shared, "ready", listener, |stream| {
            let front = self.clone();
            self.shared
                .tasks
                .spawn(async move { front.serve(stream).await });
        })
        .await;
    }

    async fn serve(&self, mut stream: HttpStream) {
        while let Ok(Some(head)) = stream.read_request(HEAD_BYTES).await {
            let is_ready = self.shared.is_ready();
            self.shared.metrics.ready.set(i64::from(is_ready));
            let status = match (head.path() == paths::READY.as_bytes(), is_ready) {
                (false, _) => 404,
                (true, true) => 200,
                (true, false) => 503,
            };
            let mut headers = HeaderList::default();
            headers.push("Content-Length", "0");
            let answer = ResponseHead::encode(status, b"Answer", &headers);
            if stream.write(&answer).await.is_err() || head.closes() {
                return;
            }
        }
    }
}
