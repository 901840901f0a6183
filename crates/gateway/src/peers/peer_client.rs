use std::{cell::RefCell, collections::HashMap, net::SocketAddr};

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use verbenahub_core::clock::TimeSpan;

use crate::{
    http::{BodyReader, HeaderList, HttpStream, RequestHead, response_framing},
    targets::within,
};

/// Timeout for connecting to another gateway.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Maximum number of idle connections kept to one gateway.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Why a call to another gateway failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The gateway cannot be reached, or the connection was lost.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// No answer arrived within the timeout.
    #[error("no answer in time")]
    Timeout,
    /// The gateway answered with a status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// The request could not be encoded, or the answer not decoded.
    #[error("message: {0}")]
    Codec(String),
}

/// Calls other gateways, over connections that it reuses.
#[derive(Debug, Default)]
pub struct PeerClient {
    idle: RefCell<HashMap<SocketAddr, Vec<HttpStream>>>,
}

impl PeerClient {
    /// Sends a request and waits for its answer. `timeout` does not include the
    /// time to connect.
    ///
    /// # Errors
    ///
    /// Fails if the gateway cannot be reached, does not answer in time or answers
    /// with an error, or if a message cannot be encoded or decoded.
    pub async fn call<Request, Answer>(
        &self,
        address: SocketAddr,
        path: &str,
        request: &Request,
        timeout: TimeSpan,
    ) -> Result<Answer, PeerError>
    where
        Request: Serialize,
        Answer: DeserializeOwned,
    {
        let stream = self.open(address).await?;
        self.call_on(stream, address, path, request, timeout).await
    }

    /// Like [`PeerClient::call`], but always on a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the gateway cannot be reached, does not answer in time or answers
    /// with an error, or if a message cannot be encoded or decoded.
    pub async fn call_on_new_connection<Request, Answer>(
        &self,
        address: SocketAddr,
        path: &str,
        request: &Request,
        timeout: TimeSpan,
    ) -> Result<Answer, PeerError>
    where
        Request: Serialize,
        Answer: DeserializeOwned,
    {
        let stream = connect(address).await?;
        self.call_on(stream, address, path, request, timeout).await
    }

    async fn call_on<Request, Answer>(
        &self,
        mut stream: HttpStream,
        address: SocketAddr,
        path: &str,
        request: &Request,
        timeout: TimeSpan,
    ) -> Result<Answer, PeerError>
    where
        Request: Serialize,
        Answer: DeserializeOwned,
    {
        let body =
            rmp_serde::to_vec(request).map_err(|error| PeerError::Codec(error.to_string()))?;
        let exchange = exchange(&mut stream, address, path, &body);
        let answer = within(timeout, exchange).await;
        let (status, body) = answer.ok_or(PeerError::Timeout)??;
        self.keep_idle(address, stream);
        if status != 200 {
            return Err(PeerError::Status(status));
        }
        rmp_serde::from_slice(&body).map_err(|error| PeerError::Codec(error.to_string()))
    }

    async fn open(&self, address: SocketAddr) -> Result<HttpStream, PeerError> {
        while let Some(stream) = self.take_idle(address) {
            if stream.is_reusable() {
                return Ok(stream);
            }
        }
        connect(address).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HttpStream> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }

    fn keep_idle(&self, address: SocketAddr, stream: HttpStream) {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.entry(address).or_default();
        if stream.is_buffer_empty() && streams.len() < MAX_IDLE_CONNECTIONS {
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
    let unreachable = |error: &dyn ToString| PeerError::Unreachable(error.to_string());
    let mut headers = HeaderList::default();
    headers.push("Host", address.to_string());
    headers.push("Content-Length", body.len().to_string());
    let mut message = RequestHead::encode(b"POST", path.as_bytes(), &headers);
    message.extend_from_slice(body);
    stream
        .write(&message)
        .await
        .map_err(|error| unreachable(&error))?;
    let head = stream
        .read_response()
        .await
        .map_err(|error| unreachable(&error))?;
    let framing = response_framing(head.status, &head.headers);
    let framing = framing.map_err(|error| unreachable(&error))?;
    let answer = BodyReader::new(framing)
        .collect(stream, MAX_ANSWER_BYTES)
        .await;
    Ok((head.status, answer.map_err(|error| unreachable(&error))?))
}
