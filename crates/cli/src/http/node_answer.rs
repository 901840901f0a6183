use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use futures_lite::AsyncReadExt;
use http_types::{Response, StatusCode, headers::CONNECTION};
use smol::net::TcpStream;
use verbenahub_core::units::ByteSize;

use super::{ClientError, LineReader, idle_pool::IdlePool};

/// The answer of a node, its body not yet read.
#[derive(Debug)]
pub struct NodeAnswer {
    node: SocketAddr,
    stream: TcpStream,
    response: Response,
    pool: Arc<IdlePool>,
}

impl NodeAnswer {
    /// Creates an answer whose body follows on `stream`.
    pub(super) fn new(
        node: SocketAddr,
        stream: TcpStream,
        response: Response,
        pool: Arc<IdlePool>,
    ) -> Self {
        Self {
            node,
            stream,
            response,
            pool,
        }
    }

    /// The node that answers.
    #[must_use]
    pub const fn node(&self) -> SocketAddr {
        self.node
    }

    /// Status of HTTP.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// A header of the answer.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response
            .header(name)
            .map(|values| values.last().as_str())
    }

    /// Reads the whole body and keeps the connection.
    ///
    /// # Errors
    ///
    /// Fails when the body has more than `limit` bytes, is cut off, or the
    /// connection breaks.
    pub async fn read_all(mut self, limit: ByteSize) -> Result<Bytes, ClientError> {
        let node = self.node;
        let limit = limit.as_bytes();
        let expected = self.response.len();
        let body = self.response.take_body();
        let mut bytes = Vec::new();
        let read = body.take(limit + 1).read_to_end(&mut bytes).await;
        read.map_err(|error| self.broken(&error.to_string()))?;
        if bytes.len() as u64 > limit {
            return Err(ClientError::TooLarge { node, limit });
        }
        if expected.is_some_and(|expected| expected != bytes.len()) {
            return Err(self.broken("the body is cut off"));
        }
        self.keep();
        Ok(bytes.into())
    }

    /// Reads the body line by line.
    #[must_use]
    pub fn into_lines(mut self) -> LineReader {
        let body = self.response.take_body();
        LineReader::new(self, body)
    }

    /// Keeps the connection for the next call, after the body was read.
    pub(super) fn keep(self) {
        let closing = self
            .header(CONNECTION.as_str())
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closing {
            self.pool.put(self.node, self.stream);
        }
    }

    /// The error of a connection that broke.
    pub(super) fn broken(&self, message: &str) -> ClientError {
        ClientError::Broken {
            node: self.node,
            message: message.to_owned(),
        }
    }
}
