use std::net::TcpListener;

use smol::Async;

use super::{LogBuffer, Shared, accept_each};
use crate::http::{HeaderList, HttpStream, ResponseHead};

/// Largest head of a question.
const HEAD_BYTES: usize = 8 << 10;
/// Path of the metrics.
const METRICS_PATH: &[u8] = b"/metrics";

/// Serves the metrics as text.
#[derive(Clone, Debug)]
pub struct MetricsListener {
    shared: Shared,
    lines: LogBuffer,
}

impl MetricsListener {
    /// Creates the front. `lines` tells how many log lines were dropped.
    #[must_use]
    pub const fn new(shared: Shared, lines: LogBuffer) -> Self {
        Self { shared, lines }
    }

    /// Answers until the future is dropped.
    pub async fn run(self, listener: Async<TcpListener>) {
        accept_each(&self.shared, "metrics", listener, |stream| {
            let front = self.clone();
            self.shared
                .tasks
                .spawn(async move { front.serve(stream).await });
        })
        .await;
    }

    async fn serve(&self, mut stream: HttpStream) {
        while let Ok(Some(head)) = stream.read_request(HEAD_BYTES).await {
            let (status, body) = if head.path() == METRICS_PATH {
                self.encode()
            } else {
                (404, Vec::new())
            };
            let mut headers = HeaderList::default();
            headers.push("Content-Type", "text/plain; version=0.0.4");
            headers.push("Content-Length", body.len().to_string());
            let mut answer = ResponseHead::encode(status, b"Answer", &headers);
            answer.extend_from_slice(&body);
            if stream.write(&answer).await.is_err() || head.closes() {
                return;
            }
        }
    }

    fn encode(&self) -> (u16, Vec<u8>) {
        let metrics = &self.shared.metrics;
        let dropped = i64::try_from(self.lines.dropped()).unwrap_or(i64::MAX);
        metrics.dropped_lines.set(dropped);
        match metrics.encode() {
            Ok(text) => (200, text),
            Err(error) => {
                slog::error!(self.shared.log, "metrics: Not encoded."; "error" => %error);
                (500, Vec::new())
            }
        }
    }
}
