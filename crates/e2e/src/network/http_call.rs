use std::{io, net::SocketAddr, time::Duration};

use async_h1::client;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response, Url};
use smol::{Timer, block_on, net::TcpStream};
use thiserror::Error;

use super::{HeaderField, HttpAnswer};

/// Bound of a call that names none.
const CALL_LIMIT: Duration = Duration::from_secs(20);

/// Bytes of an answer that are read at once.
const PIECE_BYTES: usize = 512;

/// One call over a connection of its own.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Whom to call.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The headers.
    pub headers: Vec<HeaderField>,
    /// The body.
    pub body: Vec<u8>,
    /// Bound of the whole call.
    pub limit: Duration,
    /// Pause after each piece of the answer that is read.
    pub read_pause: Duration,
}

/// A call that got no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// There was no connection, so nothing was sent.
    #[error("not connected: {0}")]
    NotConnected(io::Error),
    /// The connection broke before an answer began.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The bound of the call was over.
    #[error("no answer in time")]
    TimedOut,
}

impl HttpCall {
    /// Creates a call without headers and body.
    #[must_use]
    pub fn new(address: SocketAddr, method: Method, path: &str) -> Self {
        Self {
            address,
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            limit: CALL_LIMIT,
            read_pause: Duration::ZERO,
        }
    }

    /// Sets a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        let field = HeaderField::new(name, value);
        self.headers.retain(|other| other.name != field.name);
        self.headers.push(field);
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body<B>(mut self, body: B) -> Self
    where
        B: Into<Vec<u8>>,
    {
        self.body = body.into();
        self
    }

    /// Sets the bound of the whole call.
    #[must_use]
    pub fn limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    /// Lets the answer be read slowly.
    #[must_use]
    pub fn read_pause(mut self, pause: Duration) -> Self {
        self.read_pause = pause;
        self
    }

    /// Makes the call and waits for the answer.
    ///
    /// # Errors
    ///
    /// Fails when no answer begins. An answer that breaks off is no error.
    pub fn send(self) -> Result<HttpAnswer, CallError> {
        block_on(self.run())
    }

    /// Makes the call.
    ///
    /// # Errors
    ///
    /// Fails when no answer begins. An answer that breaks off is no error.
    pub async fn run(self) -> Result<HttpAnswer, CallError> {
        let limit = self.limit;
        let timeout = async {
            Timer::after(limit).await;
            Err(CallError::TimedOut)
        };
        self.converse().or(timeout).await
    }

    async fn converse(self) -> Result<HttpAnswer, CallError> {
        let connected = TcpStream::connect(self.address).await;
        let stream = connected.map_err(CallError::NotConnected)?;
        let _ = stream.set_nodelay(true);
        let pause = self.read_pause;
        let request = self.request()?;
        match client::connect(stream, request).await {
            Ok(response) => Ok(read_answer(response, pause).await),
            Err(error) => Err(CallError::NoAnswer(error.to_string())),
        }
    }

    fn request(self) -> Result<Request, CallError> {
        let url = Url::parse(&format!("http://{}{}", self.address, self.path));
        let url = url.map_err(|error| CallError::NoAnswer(error.to_string()))?;
        let mut request = Request::new(self.method, url);
        request.set_body(self.body);
        for field in &self.headers {
            request.insert_header(field.name.as_str(), field.value.as_str());
        }
        Ok(request)
    }
}

async fn read_answer(mut response: Response, pause: Duration) -> HttpAnswer {
    let headers = response
        .iter()
        .map(|(name, values)| HeaderField::new(name.as_str(), values.as_str()))
        .collect();
    let mut body = Vec::new();
    let mut reader = response.take_body();
    let mut piece = [0; PIECE_BYTES];
    let broken = loop {
        match reader.read(&mut piece).await {
            Ok(0) => break false,
            Ok(count) => body.extend_from_slice(&piece[..count]),
            Err(_) => break true,
        }
        if !pause.is_zero() {
            Timer::after(pause).await;
        }
    };
    HttpAnswer {
        status: response.status().into(),
        headers,
        body,
        broken,
    }
}
