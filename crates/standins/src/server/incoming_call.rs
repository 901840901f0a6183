use std::str::FromStr;

use bytes::Bytes;
use http_types::{Method, Request, Response, StatusCode};
use smol::io::AsyncReadExt;

use super::{ConnectionStream, reply};

/// Largest body that a stand-in takes, in bytes.
const BODY_LIMIT_BYTES: usize = 8 << 20;

/// One call with its whole body.
#[derive(Debug)]
pub struct IncomingCall {
    request: Request,
    /// The body.
    pub body: Bytes,
    /// The connection that the call came on.
    pub link: ConnectionStream,
}

impl IncomingCall {
    /// Reads the body of a request.
    ///
    /// # Errors
    ///
    /// Fails with the answer to give when the body is too large or broken.
    pub async fn read(mut request: Request, link: ConnectionStream) -> Result<Self, Response> {
        let mut body = Vec::new();
        let limit = u64::try_from(BODY_LIMIT_BYTES + 1).unwrap_or(u64::MAX);
        let mut reader = request.take_body().take(limit);
        if reader.read_to_end(&mut body).await.is_err() {
            return Err(reply::text(StatusCode::BadRequest, "the body is broken"));
        }
        if body.len() > BODY_LIMIT_BYTES {
            return Err(reply::text(
                StatusCode::PayloadTooLarge,
                "the body is too large",
            ));
        }
        let body = body.into();
        Ok(Self {
            request,
            body,
            link,
        })
    }

    /// The method.
    #[must_use]
    pub fn method(&self) -> Method {
        self.request.method()
    }

    /// The path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.request.url().path()
    }

    /// The value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.header(name).map(|values| values.as_str())
    }

    /// The value of a header as another type, nothing when it is missing or malformed.
    #[must_use]
    pub fn parsed<T>(&self, name: &str) -> Option<T>
    where
        T: FromStr,
    {
        self.header(name)?.parse().ok()
    }

    /// The value of a query parameter.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<String> {
        let mut pairs = self.request.url().query_pairs();
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }

    /// The value of a query parameter as a number.
    #[must_use]
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}
