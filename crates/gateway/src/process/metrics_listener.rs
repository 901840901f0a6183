use std::net::TcpListener;

use smol::Async;

use super::{LogBuffer, Shared, accept_each};
use crate::http::{HeaderList, HttpStream, ResponseHead};

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Path under which the metrics are served.
const METRICS_PATH: &[u8] = b"/metrics";

/// HTTP server for the metrics, in the Prometheus text format.
#[derive(Clone, Debug)]
pub struct MetricsListener {
    shared: Shared,
    log_buffer: LogBuffer,
}

impl MetricsListener {
    /// Creates the server. `log_buffer` provides the number of dropped log lines.
    #[must_use]
    pub const fn new(shared: Shared, log_buffer: LogBuffer) -> Self {
        Self { shared, log_buffer }
    }

    /// Serves requests until the future is dropped.
    pub async fn run(self, listener: Async<TcpListener>) {
        accept_each(&self.shared, "metrics", listener, |stream| {
            let server = self.clone();
            self.shared
                .tasks
                .spawn(async move { server.serve(stream).await });
        })
        .await;
    }

    async fn serve(&self, mut stream: HttpStream) {
        while let Ok(Some(head)) = stream.read_request(MAX_HEAD_BYTES).await {
            let (status, body) = if head.path() == METRICS_PATH {
                self.encode()
            } else {
                (404, Vec::new())
            };
            let mut headers = HeaderList::default();
            headers.push("Content-Type", "text/plain; version=0.0.4");
            headers.push("Content-Length", body.len().to_string());
            let mut response = ResponseHead::encode(status, b"Answer", &headers);
            response.extend_from_slice(&body);
            if stream.write(&response).await.is_err() || head.closes() {
                return;
            }
        }
    }

    fn encode(&self) -> (u16, Vec<u8>) {
        let metrics = &self.shared.metrics;
        let dropped = i64::try_from(self.log_buffer.dropped()).unwrap_or(i64::MAX);
        metrics.dropped_lines.set(dropped);
        match metrics.encode() {
            Ok(text) => (200, text),
            Err(error) => {
                slog::error!(self.shared.log, "metrics: Could not encode the metrics."; "error" => %error);
                (500, Vec::new())
            }
        }
    }
}
