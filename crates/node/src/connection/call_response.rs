use std::{net::SocketAddr, str::FromStr};

use bytes::Bytes;
use http_types::{Response, StatusCode};
use verbenahub_core::{clock::TimeSpan, units::ByteSize};

use super::{BodyError, ClientPool, MeteredStream, read_body};

/// The response to a call, with the connection on which its body arrives.
///
/// The connection returns to the pool only when the body was read to its end;
/// if the response is dropped before, the connection is closed.
#[derive(Debug)]
pub struct CallResponse<'pool> {
    pool: &'pool ClientPool,
    address: SocketAddr,
    stream: MeteredStream,
    response: Response,
}

impl<'pool> CallResponse<'pool> {
    pub(super) const fn new(
        pool: &'pool ClientPool,
        address: SocketAddr,
        stream: MeteredStream,
        response: Response,
    ) -> Self {
        Self {
            pool,
            address,
            stream,
            response,
        }
    }

    /// Status code of the response.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// The last value of a header, if it is present.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response
            .header(name)
            .map(|values| values.last().as_str())
    }

    /// The last value of a header, if it is present and can be parsed.
    #[must_use]
    pub fn parsed_header<Value>(&self, name: &str) -> Option<Value>
    where
        Value: FromStr,
    {
        self.header(name)?.parse().ok()
    }

    /// The response, to read its body incrementally.
    pub const fn response_mut(&mut self) -> &mut Response {
        &mut self.response
    }

    /// Bytes read from the connection so far, to detect progress.
    #[must_use]
    pub fn read_bytes(&self) -> u64 {
        self.stream.read_bytes()
    }

    /// Allows `bytes` more bytes of the body to be read from now on.
    pub fn set_read_budget(&self, bytes: u64) {
        self.stream.set_read_budget(bytes);
    }

    /// Reads the complete body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Fails when the body exceeds `limit`, does not have the declared length or
    /// does not arrive within `timeout`, or when the connection fails.
    pub async fn into_body(
        mut self,
        limit: ByteSize,
        timeout: TimeSpan,
    ) -> Result<Bytes, BodyError> {
        let length = self.response.len();
        let body = self.response.take_body();
        let bytes = read_body(body, length, limit, timeout).await?;
        self.finish();
        Ok(bytes)
    }

    /// Returns the connection to the pool, unless the response closes it. Call
    /// this only after the body was read to its end.
    pub fn finish(self) {
        let closes = self
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closes {
            self.pool.return_idle(self.address, self.stream);
        }
    }
}
