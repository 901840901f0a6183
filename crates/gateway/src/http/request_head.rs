use bytes::{Bytes, BytesMut};

use super::HeaderList;

/// Head of a request as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: Bytes,
    /// Path and query, byte for byte.
    pub target: Bytes,
    /// Whether the sender speaks HTTP/1.0.
    pub is_http10: bool,
    /// Headers.
    pub headers: HeaderList,
}

impl RequestHead {
    /// Path without the query.
    #[must_use]
    pub fn path(&self) -> &[u8] {
        let end = self.target.iter().position(|byte| *byte == b'?');
        &self.target[..end.unwrap_or(self.target.len())]
    }

    /// Whether the sender will close the connection after the answer.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.is_http10 || self.headers.contains_token("connection", "close")
    }

    /// Writes a head with a method, a target and headers of its own.
    #[must_use]
    pub fn encode(method: &[u8], target: &[u8], headers: &HeaderList) -> BytesMut {
        let mut buffer = BytesMut::with_capacity(1 << 10);
        buffer.extend_from_slice(method);
        buffer.extend_from_slice(b" ");
        buffer.extend_from_slice(target);
        buffer.extend_from_slice(b" HTTP/1.1\r\n");
        headers.write(&mut buffer);
        buffer.extend_from_slice(b"\r\n");
        buffer
    }
}
