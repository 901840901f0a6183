use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_h1::server::{ConnectionStatus, Server};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::{Request, Response, StatusCode};
use smol::{
    Timer,
    net::{Shutdown, TcpListener, TcpStream},
};

use verbenahub_core::protocol::{BodyFraming, FramingError};

use super::{BodyWatch, MeteredStream, ServerLimits, ServerPhase};
use crate::process::TaskGroup;

/// Interval at which the writes and the idle time of a connection are checked,
/// and longest time for a response written without the HTTP library.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed accept, so that the loop does not spin while the process
/// is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of bytes discarded of a request that was answered before its
/// end.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Size of the buffer for the discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;
/// Longest time for which the rest of a request is discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

const BAD_REQUEST: &str = r#"{"outcome":"not_run","code":"bad_request","message":"The request is not valid HTTP/1.1 or its head is too large."}"#;
const HEAD_TIMEOUT: &str = r#"{"outcome":"not_run","code":"request_timeout","message":"The head of the request did not arrive in time.","retry_after_ms":1000}"#;
const TOO_MANY_CONNECTIONS: &str = r#"{"outcome":"not_run","code":"overloaded","message":"The node has too many open connections.","retry_after_ms":1000}"#;

/// A fault of a connection that an HTTP server reports, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// A client sent a malformed request or a head that is too large.
    Malformed,
    /// A connection was refused because the limit of open connections is
    /// reached.
    TooManyConnections,
    /// The head of a request did not arrive within the timeout.
    SlowSender,
    /// Writing a response made no progress within the timeout.
    SlowReader,
}

/// An HTTP server on one listening socket.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    limits: ServerLimits,
    open: Arc<AtomicUsize>,
    phase: Arc<ServerPhase>,
}

impl HttpServer {
    /// Creates a server for the connections of `listener` within `limits`.
    ///
    /// `phase` tells the connections when to close.
    #[must_use]
    pub fn new(listener: TcpListener, limits: ServerLimits, phase: Arc<ServerPhase>) -> Self {
        Self {
            listener,
            limits,
            open: Arc::default(),
            phase,
        }
    }

    /// The number of open connections, updated as they open and close.
    #[must_use]
    pub fn open_connections(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open)
    }

    /// Accepts connections until the future is dropped. Each connection runs as
    /// a task of `group`, which may outlive the future.
    pub async fn run<Handler, Respond, Report>(
        &self,
        group: &TaskGroup,
        handler: Handler,
        report: Report,
    ) where
        Handler: Fn(Request, MeteredStream) -> Respond + Clone + Send + Sync + 'static,
        Respond: Future<Output = Response> + Send + 'static,
        Report: Fn(ServerEvent) + Clone + Send + Sync + 'static,
    {
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let open = OpenConnection::new(&self.open);
            if open.count > self.limits.connections {
                report(ServerEvent::TooManyConnections);
                group.spawn(refuse_connection(stream, open));
                continue;
            }
            let connection = ServerConnection {
                limits: self.limits,
                phase: Arc::clone(&self.phase),
                _open: open,
            };
            group.spawn(connection.serve(stream, handler.clone(), report.clone()));
        }
    }
}

/// Counts one open connection until it is dropped.
struct OpenConnection {
    total: Arc<AtomicUsize>,
    /// Number of open connections when this one was opened, itself included.
    count: usize,
}

impl OpenConnection {
    fn new(total: &Arc<AtomicUsize>) -> Self {
        let count = total.fetch_add(1, Ordering::Relaxed) + 1;
        let total = Arc::clone(total);
        Self { total, count }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.total.fetch_sub(1, Ordering::Relaxed);
    }
}

struct ServerConnection {
    limits: ServerLimits,
    phase: Arc<ServerPhase>,
    _open: OpenConnection,
}

impl ServerConnection {
    async fn serve<Handler, Respond, Report>(
        self,
        stream: TcpStream,
        handler: Handler,
        report: Report,
    ) where
        Handler: Fn(Request, MeteredStream) -> Respond,
        Respond: Future<Output = Response>,
        Report: Fn(ServerEvent),
    {
        let _ = stream.set_nodelay(true);
        let stream = MeteredStream::new(stream);
        let write_timeout = async {
            wait_for_stalled_write(&stream, self.limits.write_timeout.into()).await;
            report(ServerEvent::SlowReader);
        };
        self.serve_requests(&stream, &handler, &report)
            .or(write_timeout)
            .await;
    }

    async fn serve_requests<Handler, Respond, Report>(
        &self,
        stream: &MeteredStream,
        handler: &Handler,
        report: &Report,
    ) where
        Handler: Fn(Request, MeteredStream) -> Respond,
        Respond: Future<Output = Response>,
        Report: Fn(ServerEvent),
    {
        let head_read = AtomicBool::new(false);
        let endpoint = |mut request: Request| {
            head_read.store(true, Ordering::Relaxed);
            let framing_error = check_framing(&request);
            let body = BodyWatch::attach(&mut request);
            let response = framing_error
                .is_none()
                .then(|| handler(request, stream.clone()));
            async move {
                let Some(response) = response else {
                    report(ServerEvent::Malformed);
                    stream.stop_reading();
                    return Ok(malformed_response());
                };
                let mut response = response.await;
                if !body.is_fully_read() {
                    stream.stop_reading();
                }
                if self.phase.is_ending() || stream.has_stopped_reading() {
                    response.insert_header("connection", "close");
                }
                Ok(response)
            }
        };
        let mut server = Server::new(stream.clone(), endpoint);
        loop {
            stream.set_read_budget(self.limits.request_bytes.as_bytes());
            if self.is_idle_too_long(stream).await {
                return;
            }
            head_read.store(false, Ordering::Relaxed);
            let timed_out = async {
                Timer::after(self.limits.head_timeout.into()).await;
                if head_read.load(Ordering::Relaxed) {
                    std::future::pending::<()>().await;
                }
                Err(http_types::Error::from_str(
                    StatusCode::RequestTimeout,
                    "slow head",
                ))
            };
            match server.accept_one().or(timed_out).await {
                Ok(ConnectionStatus::KeepAlive) => {}
                Ok(ConnectionStatus::Close) => return discard_rest(stream).await,
                Err(error) => return handle_error(stream, &error, report).await,
            }
        }
    }

    /// Waits for the first byte of a request. Returns true when the client has
    /// closed the connection, the idle timeout passes or the server closes its
    /// idle connections.
    async fn is_idle_too_long(&self, stream: &MeteredStream) -> bool {
        let arrival = async {
            let mut byte = [0_u8; 1];
            !matches!(stream.stream().peek(&mut byte).await, Ok(1..))
        };
        let idle = async {
            let timeout = Duration::from(self.limits.idle_timeout);
            let mut waited = Duration::ZERO;
            while waited < timeout && !self.phase.is_closing() {
                Timer::after(CHECK_INTERVAL).await;
                waited += CHECK_INTERVAL;
            }
            true
        };
        arrival.or(idle).await
    }
}

/// Returns why the end of a request is ambiguous, if it is. `async_h1` does not
/// reject such requests: it uses the last of several lengths and ignores unknown
/// transfer codings.
fn check_framing(request: &Request) -> Option<FramingError> {
    let values = |name: &str| {
        let values = request.header(name).into_iter().flatten();
        values
            .map(|value| value.as_str().as_bytes().to_vec())
            .collect()
    };
    let lengths: Vec<Vec<u8>> = values("content-length");
    let codings: Vec<Vec<u8>> = values("transfer-encoding");
    let declared = BodyFraming::declared(
        lengths.iter().map(Vec::as_slice),
        codings.iter().map(Vec::as_slice),
    );
    declared.err()
}

/// The response to a request with ambiguous framing. It closes the connection.
fn malformed_response() -> Response {
    let mut response = Response::new(StatusCode::BadRequest);
    response.insert_header("connection", "close");
    response.set_body(BAD_REQUEST);
    response.set_content_type(http_types::mime::JSON);
    response
}

/// Resolves when a write has made no progress for `timeout`.
async fn wait_for_stalled_write(stream: &MeteredStream, timeout: Duration) {
    let mut written = stream.written_bytes();
    let mut stalled = Duration::ZERO;
    while stalled < timeout {
        Timer::after(CHECK_INTERVAL).await;
        let progressed = stream.written_bytes() != written;
        written = stream.written_bytes();
        stalled = if progressed || !stream.write_pending() {
            Duration::ZERO
        } else {
            stalled + CHECK_INTERVAL
        };
    }
}

/// Answers a request that could not be read, unless the connection has failed.
async fn handle_error<Report>(stream: &MeteredStream, error: &http_types::Error, report: &Report)
where
    Report: Fn(ServerEvent),
{
    let connection_failed = error
        .downcast_ref::<std::io::Error>()
        .is_some_and(|error| error.kind() != std::io::ErrorKind::FileTooLarge);
    if !connection_failed {
        let timed_out = error.status() == StatusCode::RequestTimeout;
        let (event, status, body) = if timed_out {
            (ServerEvent::SlowSender, "408 Request Timeout", HEAD_TIMEOUT)
        } else {
            (ServerEvent::Malformed, "400 Bad Request", BAD_REQUEST)
        };
        report(event);
        write_response(stream.clone(), status, body).await;
        stream.stop_reading();
        discard_rest(stream).await;
    }
}

/// Reads and discards the rest of a request that was answered before its end,
/// up to a size and a time limit. Closing a socket with unread bytes would reset
/// the connection, and the client might lose the response.
async fn discard_rest(stream: &MeteredStream) {
    if !stream.has_stopped_reading() {
        return;
    }
    let mut socket = stream.stream().clone();
    let _ = socket.shutdown(Shutdown::Write);
    let rest = async {
        let mut remaining = MAX_DISCARDED_BYTES;
        let mut buffer = [0_u8; DISCARD_BUFFER_BYTES];
        while remaining > 0 {
            match socket.read(&mut buffer).await {
                Ok(bytes) if bytes > 0 => remaining = remaining.saturating_sub(bytes),
                _ => return,
            }
        }
    };
    let timed_out = async {
        Timer::after(DISCARD_TIMEOUT).await;
    };
    rest.or(timed_out).await;
}

async fn refuse_connection(stream: TcpStream, _open: OpenConnection) {
    let stream = MeteredStream::new(stream);
    write_response(stream, "503 Service Unavailable", TOO_MANY_CONNECTIONS).await;
}

/// Writes a response directly, because the HTTP library only responds to a
/// request that it has read.
async fn write_response(mut stream: MeteredStream, status: &str, body: &str) {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\nretry-after: 1\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let write = async {
        let _ = stream.write_all(text.as_bytes()).await;
        let _ = stream.close().await;
    };
    let timed_out = async {
        Timer::after(CHECK_INTERVAL).await;
    };
    write.or(timed_out).await;
}
