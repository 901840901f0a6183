use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use futures_lite::{FutureExt, future};
use http_types::Request;
use smol::{Timer, net::TcpStream};
use verbenahub_core::clock::TimeSpan;

use super::{CallError, CallResponse, MeteredStream};

/// Idle connections kept for one address.
const IDLE_PER_ADDRESS: usize = 32;
/// Time after which an idle connection is not used again.
const IDLE_LIFE: Duration = Duration::from_secs(20);
/// Time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of a response that are read at most.
const RESPONSE_BYTES: u64 = 64 << 20;

/// Connections to targets, nodes and the platform, kept open between calls.
#[derive(Debug, Default)]
pub struct ClientPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    stream: MeteredStream,
    since: Instant,
}

/// An open connection on which nothing of the next call was sent yet.
#[derive(Debug)]
pub struct ClientConnection {
    address: SocketAddr,
    stream: MeteredStream,
}

/// Which connection a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An idle connection if there is one.
    Reuse,
    /// A new connection, so that a failure to connect proves that nothing was
    /// sent.
    Fresh,
}

impl ClientPool {
    /// Sends a call and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened, or when the connection breaks or
    /// stays silent until `timeout` is over.
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

    /// Takes an idle connection or opens a new one. Nothing is sent yet.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened in time.
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

    /// Sends a call on an open connection and waits for the head of its
    /// response.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or stays silent until `timeout` is
    /// over.
    pub async fn exchange(
        &self,
        connection: ClientConnection,
        request: Request,
        timeout: TimeSpan,
    ) -> Result<CallResponse<'_>, CallError> {
        let ClientConnection { address, stream } = connection;
        stream.set_read_budget(RESPONSE_BYTES);
        let late = async {
            Timer::after(timeout.into()).await;
            Err(CallError::Timeout)
        };
        let exchange = async {
            // Boxed, because the library's buffers would make every caller's
            // future large.
            Box::pin(async_h1::connect(stream.clone(), request))
                .await
                .map_err(|error| CallError::ConnectionLost(error.to_string()))
        };
        let response = exchange.or(late).await?;
        Ok(CallResponse::new(self, address, stream, response))
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    pub(super) fn put_back(&self, address: SocketAddr, stream: MeteredStream) {
        let mut idle = self.lock();
        let streams = idle.entry(address).or_default();
        if streams.len() < IDLE_PER_ADDRESS {
            let since = Instant::now();
            streams.push(IdleConnection { stream, since });
        }
    }

    fn take_idle(&self, address: SocketAddr, choice: ConnectionChoice) -> Option<MeteredStream> {
        if choice == ConnectionChoice::Fresh {
            return None;
        }
        let mut idle = self.lock();
        let streams = idle.get_mut(&address)?;
        while let Some(connection) = streams.pop() {
            if connection.since.elapsed() < IDLE_LIFE && is_quiet(&connection.stream) {
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

/// Whether an idle connection is open and has nothing to read.
fn is_quiet(stream: &MeteredStream) -> bool {
    let mut byte = [0_u8; 1];
    let mut peek = std::pin::pin!(stream.stream().peek(&mut byte));
    future::block_on(future::poll_once(&mut peek)).is_none()
}

async fn connect(address: SocketAddr, timeout: TimeSpan) -> Result<MeteredStream, CallError> {
    let limit = CONNECT_TIMEOUT.min(timeout.into());
    let late = async {
        Timer::after(limit).await;
        Err(CallError::ConnectTimeout)
    };
    let open = async {
        TcpStream::connect(address)
            .await
            .map_err(CallError::NotConnected)
    };
    let stream = open.or(late).await?;
    stream.set_nodelay(true).map_err(CallError::NotConnected)?;
    Ok(MeteredStream::new(stream))
}
