use std::{
    collections::HashMap,
    net::SocketAddr,
    panic::AssertUnwindSafe,
    sync::Mutex,
    time::{Duration, Instant},
};

use futures_lite::{FutureExt, future};
use http_types::{Request, Response, StatusCode};
use smol::{Timer, net::TcpStream};
use verbenahub_core::clock::TimeSpan;

use super::{CallError, CallResponse, MeteredStream};

/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;
/// Time after which an idle connection is no longer reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time to wait for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response's body, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Maximum number of bytes read until a response's head is complete. `async_h1`
/// accepts 8 KiB, but checks that only at the ends of lines, and reads ahead.
const MAX_HEAD_BYTES: u64 = 32 << 10;

/// A pool of client connections to targets, nodes and the platform, which are
/// kept open between calls.
#[derive(Debug, Default)]
pub struct ClientPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    stream: MeteredStream,
    idle_since: Instant,
}

/// An open connection on which no part of the next call has been sent.
#[derive(Debug)]
pub struct ClientConnection {
    address: SocketAddr,
    stream: MeteredStream,
}

/// Whether a call may reuse an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// Use an idle connection if there is one, otherwise open a new one.
    Reuse,
    /// Open a new connection, so that a failure to connect proves that nothing
    /// was sent.
    Fresh,
}

impl ClientPool {
    /// Sends a call and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened, the connection is lost, or no
    /// response arrives within `timeout`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        choice: ConnectionChoice,
        timeout: TimeSpan,
    ) -> Result<CallResponse<'_>, CallError> {
        let connection = self.open(address, choice, timeout).await?;
        self.exchange(connection, request, timeout).await
    }

    /// Takes an idle connection or opens a new one, without sending anything.
    ///
    /// # Errors
    ///
    /// Fails when a new connection cannot be opened within `timeout` or within
    /// 1 second.
    pub async fn open(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
        timeout: TimeSpan,
    ) -> Result<ClientConnection, CallError> {
        let stream = match self.take_idle(address, choice) {
            Some(stream) => stream,
            None => connect(address, timeout).await?,
        };
        Ok(ClientConnection { address, stream })
    }

    /// Sends a call on an open connection and waits for the head of the
    /// response.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost or no response arrives within
    /// `timeout`.
    pub async fn exchange(
        &self,
        connection: ClientConnection,
        request: Request,
        timeout: TimeSpan,
    ) -> Result<CallResponse<'_>, CallError> {
        let ClientConnection { address, stream } = connection;
        stream.set_read_budget(MAX_HEAD_BYTES);
        let timed_out = async {
            Timer::after(timeout.into()).await;
            Err(CallError::Timeout)
        };
        let exchange = async {
            // Boxed because the buffers of `async_h1` would make the future of
            // every caller large.
            let response = Box::pin(async_h1::connect(stream.clone(), request));
            // `http_types` panics if the value of a header is not ASCII.
            match AssertUnwindSafe(response).catch_unwind().await {
                Ok(response) => {
                    response.map_err(|error| CallError::ConnectionLost(error.to_string()))
                }
                Err(_) => Err(connection_lost("a header that is not ASCII")),
            }
        };
        let response = exchange.or(timed_out).await?;
        if response.status().is_informational() {
            // What follows would be taken for the body.
            return Err(connection_lost("an interim response"));
        }
        if !has_known_end(&response) {
            return Err(connection_lost("a response without a length"));
        }
        stream.set_read_budget(MAX_BODY_BYTES);
        Ok(CallResponse::new(self, address, stream, response))
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    pub(super) fn return_idle(&self, address: SocketAddr, stream: MeteredStream) {
        let mut idle = self.lock();
        let streams = idle.entry(address).or_default();
        if streams.len() < MAX_IDLE_PER_ADDRESS {
            let idle_since = Instant::now();
            streams.push(IdleConnection { stream, idle_since });
        }
    }

    fn take_idle(&self, address: SocketAddr, choice: ConnectionChoice) -> Option<MeteredStream> {
        if choice == ConnectionChoice::Fresh {
            return None;
        }
        let mut idle = self.lock();
        let streams = idle.get_mut(&address)?;
        while let Some(connection) = streams.pop() {
            if connection.idle_since.elapsed() < IDLE_TIMEOUT && is_reusable(&connection.stream) {
                return Some(connection.stream);
            }
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn connection_lost(reason: &str) -> CallError {
    CallError::ConnectionLost(reason.to_owned())
}

/// Whether a response says where its body ends. `async_h1` takes the body of one that
/// doesn't for empty.
fn has_known_end(response: &Response) -> bool {
    let has_no_body = matches!(
        response.status(),
        StatusCode::NoContent | StatusCode::NotModified
    );
    let codings = response.header("transfer-encoding");
    let is_chunked = codings.is_some_and(|codings| codings.last().as_str() == "chunked");
    has_no_body || is_chunked || response.header("content-length").is_some()
}

/// Whether an idle connection can be reused: it is open, and no unexpected data
/// has arrived on it.
fn is_reusable(stream: &MeteredStream) -> bool {
    let mut byte = [0_u8; 1];
    let mut peek = std::pin::pin!(stream.stream().peek(&mut byte));
    future::block_on(future::poll_once(&mut peek)).is_none()
}

async fn connect(address: SocketAddr, timeout: TimeSpan) -> Result<MeteredStream, CallError> {
    let limit = CONNECT_TIMEOUT.min(timeout.into());
    let timed_out = async {
        Timer::after(limit).await;
        Err(CallError::ConnectTimeout)
    };
    let open = async {
        TcpStream::connect(address)
            .await
            .map_err(CallError::NotConnected)
    };
    let stream = open.or(timed_out).await?;
    stream.set_nodelay(true).map_err(CallError::NotConnected)?;
    Ok(MeteredStream::new(stream))
}
