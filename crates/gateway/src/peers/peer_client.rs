use std::{cell::RefCell, collections::HashMap, net::SocketAddr};

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use verbenahub_core::clock::TimeSpan;

use crate::{
    http::{BodyReader, HeaderList, HttpStream, RequestHead, response_framing},
    targets::within,
};

/// Time for a new connection to another gateway.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);
/// Largest answer of another gateway.
const ANSWER_BYTES: usize = 8 << 20;
/// Idle connections that are kept to one gateway.
const IDLE_LIMIT: usize = 8;

/// Why a call to another gateway brought no answer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The gateway can't be reached, or the connection broke.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// No answer came in time.
    #[error("no answer in time")]
    Timeout,
    /// The answer is not what was asked for.
    #[error("status {0}")]
    Status(u16),
    /// A message can't be encoded or decoded.
    #[error("message: {0}")]
    Codec(String),
}

/// Calls other gateways.
#[derive(Debug, Default)]
pub struct PeerClient {
    idle: RefCell<HashMap<SocketAddr, Vec<HttpStream>>>,
}

impl PeerClient {
    /// Sends a message and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer in time.
    pub async fn call<Ask, Answer>(
        &self,
        address: SocketAddr,
        path: &str,
        ask: &Ask,
        timeout: TimeSpan,
    ) -> Result<Answer, PeerError>
    where
        Ask: Serialize,
        Answer: DeserializeOwned,
    {
        let stream = self.open(address).await?;
        self.call_on(stream, address, path, ask, timeout).await
    }

    /// Sends a message on a new connection and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer in time.
    pub async fn call_on_new_connection<Ask, Answer>(
        &self,
        address: SocketAddr,
        path: &str,
        ask: &Ask,
        timeout: TimeSpan,
    ) -> Result<Answer, PeerError>
    where
        Ask: Serialize,
        Answer: DeserializeOwned,
    {
        let stream = connect(address).await?;
        self.call_on(stream, address, path, ask, timeout).await
    }

    async fn call_on<Ask, Answer>(
        &self,
        mut stream: HttpStream,
        address: SocketAddr,
        path: &str,
        ask: &Ask,
        timeout: TimeSpan,
    ) -> Result<Answer, PeerError>
    where
        Ask: Serialize,
        Answer: DeserializeOwned,
    {
        let body = rmp_serde::to_vec(ask).map_err(|error| PeerError::Codec(error.to_string()))?;
        let exchange = exchange(&mut stream, address, path, &body);
        let answer = within(timeout, exchange).await;
        let (status, body) = answer.ok_or(PeerError::Timeout)??;
        self.keep(address, stream);
        if status != 200 {
            return Err(PeerError::Status(status));
        }
        rmp_serde::from_slice(&body).map_err(|error| PeerError::Codec(error.to_string()))
    }

    async fn open(&self, address: SocketAddr) -> Result<HttpStream, PeerError> {
        while let Some(stream) = self.take(address) {
            if stream.is_reusable() {
                return Ok(stream);
            }
        }
        connect(address).await
    }

    fn take(&self, address: SocketAddr) -> Option<HttpStream> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }

    fn keep(&self, address: SocketAddr, stream: HttpStream) {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.entry(address).or_default();
        if stream.is_buffer_empty() && streams.len() < IDLE_LIMIT {
            streams.push(stream);
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

async fn connect(address: SocketAddr) -> Result<HttpStream, PeerError> {
    let connected = within(CONNECT_TIMEOUT, HttpStream::connect(address)).await;
    let no_connection = || PeerError::Unreachable("no connection in time".to_owned());
    let stream = connected.ok_or_else(no_connection)?;
    stream.map_err(|error| PeerError::Unreachable(error.to_string()))
}

async fn exchange(
    stream: &mut HttpStream,
    address: SocketAddr,
    path: &str,
    body: &[u8],
) -> Result<(u16, Bytes), PeerError> {
    let broken = |error: &dyn ToString| PeerError::Unreachable(error.to_string());
    let mut headers = HeaderList::default();
    headers.push("Host", address.to_string());
    headers.push("Content-Length", body.len().to_string());
    let mut message = RequestHead::encode(b"POST", path.as_bytes(), &headers);
    message.extend_from_slice(body);
    stream
        .write(&message)
        .await
        .map_err(|error| broken(&error))?;
    let head = stream
        .read_response()
        .await
        .map_err(|error| broken(&error))?;
    let framing = response_framing(head.status, &head.headers);
    let framing = framing.map_err(|error| broken(&error))?;
    let answer = BodyReader::new(framing).collect(stream, ANSWER_BYTES).await;
    Ok((head.status, answer.map_err(|error| broken(&error))?))
}
