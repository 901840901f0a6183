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

/// Interval at which a connection's writes are checked for progress.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed accept, so that a lack of descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bytes that are taken of a request that was refused before its end.
const LINGER_BYTES: usize = 1 << 20;
/// Buffer for these bytes.
const LINGER_BUFFER_BYTES: usize = 4 << 10;
/// Time for which they are taken.
const LINGER_TIME: Duration = Duration::from_secs(1);

const BAD_REQUEST: &str = r#"{"outcome":"not_run","code":"bad_request","message":"The request is not valid HTTP/1.1 or its head is too large."}"#;
const SLOW_HEAD: &str = r#"{"outcome":"not_run","code":"request_timeout","message":"The head of the request did not arrive in time.","retry_after_ms":1000}"#;
const TOO_MANY: &str = r#"{"outcome":"not_run","code":"overloaded","message":"The node has too many open connections.","retry_after_ms":1000}"#;

/// What the server side of HTTP reports, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// A connection sent something that is not HTTP.
    Malformed,
    /// A connection was refused because too many are open.
    TooManyConnections,
    /// A connection took too long to send the head of a request.
    SlowSender,
    /// A connection took too long to take its answer.
    SlowReader,
}

/// The server side of HTTP on one listening socket.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    limits: ServerLimits,
    open: Arc<AtomicUsize>,
    phase: Arc<ServerPhase>,
}

impl HttpServer {
    /// Serves connections of `listener` within `limits`.
    ///
    /// `phase` tells the connections when to end.
    #[must_use]
    pub fn new(listener: TcpListener, limits: ServerLimits, phase: Arc<ServerPhase>) -> Self {
        Self {
            listener,
            limits,
            open: Arc::default(),
            phase,
        }
    }

    /// Connections that are open now.
    #[must_use]
    pub fn open_connections(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open)
    }

    /// Accepts connections until the future is dropped. The connections
    /// themselves run as tasks of `group`.
    pub async fn run<Handler, Answer, Report>(
        &self,
        group: &TaskGroup,
        handler: Handler,
        report: Report,
    ) where
        Handler: Fn(Request, MeteredStream) -> Answer + Clone + Send + Sync + 'static,
        Answer: Future<Output = Response> + Send + 'static,
        Report: Fn(ServerEvent) + Clone + Send + Sync + 'static,
    {
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            };
            let open = OpenConnection::new(&self.open);
            if open.count > self.limits.connections {
                report(ServerEvent::TooManyConnections);
                group.spawn(refuse(stream, open));
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

/// Counts one open connection for as long as it lives.
struct OpenConnection {
    total: Arc<AtomicUsize>,
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
    async fn serve<Handler, Answer, Report>(
        self,
        stream: TcpStream,
        handler: Handler,
        report: Report,
    ) where
        Handler: Fn(Request, MeteredStream) -> Answer,
        Answer: Future<Output = Response>,
        Report: Fn(ServerEvent),
    {
        let _ = stream.set_nodelay(true);
        let stream = MeteredStream::new(stream);
        let watch = async {
            watch_writes(&stream, self.limits.write_timeout.into()).await;
            report(ServerEvent::SlowReader);
        };
        self.exchange(&stream, &handler, &report).or(watch).await;
    }

    async fn exchange<Handler, Answer, Report>(
        &self,
        stream: &MeteredStream,
        handler: &Handler,
        report: &Report,
    ) where
        Handler: Fn(Request, MeteredStream) -> Answer,
        Answer: Future<Output = Response>,
        Report: Fn(ServerEvent),
    {
        let head_read = AtomicBool::new(false);
        let endpoint = |mut request: Request| {
            head_read.store(true, Ordering::Relaxed);
            let doubt = framing_doubt(&request);
            let watch = BodyWatch::attach(&mut request);
            let answer = doubt.is_none().then(|| handler(request, stream.clone()));
            async move {
                let Some(answer) = answer else {
                    report(ServerEvent::Malformed);
                    stream.stop_reading();
                    return Ok(refuse_malformed());
                };
                let mut response = answer.await;
                if !watch.has_ended() {
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
            if self.idles_too_long(stream).await {
                return;
            }
            head_read.store(false, Ordering::Relaxed);
            let slow = async {
                Timer::after(self.limits.head_timeout.into()).await;
                if head_read.load(Ordering::Relaxed) {
                    std::future::pending::<()>().await;
                }
                Err(http_types::Error::from_str(
                    StatusCode::RequestTimeout,
                    "slow head",
                ))
            };
            match server.accept_one().or(slow).await {
                Ok(ConnectionStatus::KeepAlive) => {}
                Ok(ConnectionStatus::Close) => return linger(stream).await,
                Err(error) => return answer_malformed(stream, &error, report).await,
            }
        }
    }

    /// Waits for the first byte of a request. True when none comes in time or
    /// the node stops.
    async fn idles_too_long(&self, stream: &MeteredStream) -> bool {
        let arrival = async {
            let mut byte = [0_u8; 1];
            !matches!(stream.stream().peek(&mut byte).await, Ok(1..))
        };
        let idle = async {
            let timeout = Duration::from(self.limits.idle_timeout);
            let mut waited = Duration::ZERO;
            while waited < timeout && !self.phase.is_closing() {
                Timer::after(WATCH_INTERVAL).await;
                waited += WATCH_INTERVAL;
            }
            true
        };
        arrival.or(idle).await
    }
}

/// Why a request leaves in doubt where it ends. The library takes the last of
/// several lengths, and any transfer coding that it doesn't know for none.
fn framing_doubt(request: &Request) -> Option<FramingError> {
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

/// The answer to a request whose end is in doubt. The connection ends with it.
fn refuse_malformed() -> Response {
    let mut response = Response::new(StatusCode::BadRequest);
    response.insert_header("connection", "close");
    response.set_body(BAD_REQUEST);
    response.set_content_type(http_types::mime::JSON);
    response
}

/// Resolves when a write has waited for longer than `timeout`.
async fn watch_writes(stream: &MeteredStream, timeout: Duration) {
    let mut written = stream.written_bytes();
    let mut stalled = Duration::ZERO;
    while stalled < timeout {
        Timer::after(WATCH_INTERVAL).await;
        let progressed = stream.written_bytes() != written;
        written = stream.written_bytes();
        stalled = if progressed || !stream.write_pending() {
            Duration::ZERO
        } else {
            stalled + WATCH_INTERVAL
        };
    }
}

async fn answer_malformed<Report>(
    stream: &MeteredStream,
    error: &http_types::Error,
    report: &Report,
) where
    Report: Fn(ServerEvent),
{
    let broken = error
        .downcast_ref::<std::io::Error>()
        .is_some_and(|error| error.kind() != std::io::ErrorKind::FileTooLarge);
    if !broken {
        let slow = error.status() == StatusCode::RequestTimeout;
        let (event, status, body) = if slow {
            (ServerEvent::SlowSender, "408 Request Timeout", SLOW_HEAD)
        } else {
            (ServerEvent::Malformed, "400 Bad Request", BAD_REQUEST)
        };
        report(event);
        write_plain(stream.clone(), status, body).await;
        stream.stop_reading();
        linger(stream).await;
    }
}

/// Takes what the caller still sends of a request that was answered before its
/// end, within bounds. Closing with unread bytes would reset the connection,
/// and the caller might lose the answer.
async fn linger(stream: &MeteredStream) {
    if !stream.has_stopped_reading() {
        return;
    }
    let mut socket = stream.stream().clone();
    let _ = socket.shutdown(Shutdown::Write);
    let rest = async {
        let mut left = LINGER_BYTES;
        let mut buffer = [0_u8; LINGER_BUFFER_BYTES];
        while left > 0 {
            match socket.read(&mut buffer).await {
                Ok(bytes) if bytes > 0 => left = left.saturating_sub(bytes),
                _ => return,
            }
        }
    };
    let late = async {
        Timer::after(LINGER_TIME).await;
    };
    rest.or(late).await;
}

async fn refuse(stream: TcpStream, _open: OpenConnection) {
    let stream = MeteredStream::new(stream);
    write_plain(stream, "503 Service Unavailable", TOO_MANY).await;
}

/// Writes an answer without the HTTP library, which has no request to answer.
async fn write_plain(mut stream: MeteredStream, status: &str, body: &str) {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\nretry-after: 1\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let write = async {
        let _ = stream.write_all(text.as_bytes()).await;
        let _ = stream.close().await;
    };
    let late = async {
        Timer::after(WATCH_INTERVAL).await;
    };
    write.or(late).await;
}
