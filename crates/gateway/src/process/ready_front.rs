use std::net::TcpListener;

use smol::Async;
use verbenahub_platform::paths;

use super::Shared;
use crate::http::{HeaderList, HttpStream, ResponseHead};

/// Largest head of a question.
const HEAD_BYTES: usize = 8 << 10;

/// Tells the balancer whether the node takes new connections.
#[derive(Clone, Debug)]
pub struct ReadyFront {
    shared: Shared,
}

impl ReadyFront {
    /// Creates the front.
    #[must_use]
    pub const fn new(shared: Shared) -> Self {
        Self { shared }
    }

    /// Answers until the future is dropped.
    pub async fn run(self, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    let front = self.clone();
                    self.shared.tasks.spawn(async move {
                        // Without a connection there is nobody to tell.
                        if let Ok(stream) = HttpStream::new(socket) {
                            front.serve(stream).await;
                        }
                    });
                }
                Err(error) => {
                    slog::warn!(self.shared.log, "ready: Accept failed."; "error" => %error);
                    smol::Timer::after(std::time::Duration::from_millis(50)).await;
                }
            }
        }
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
