use bytes::{Bytes, BytesMut};

use super::HeaderList;

/// Request line and headers as they were received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, byte for byte.
    pub method: Bytes,
    /// Request target: path and query, byte for byte.
    pub target: Bytes,
    /// Whether the sender uses HTTP/1.0.
    pub is_http10: bool,
    /// Headers in order.
    pub headers: HeaderList,
}

impl RequestHead {
    /// Path without the query.
    #[must_use]
    pub fn path(&self) -> &[u8] {
        let end = self.target.iter().position(|byte| *byte == b'?');
        &self.target[..end.unwrap_or(self.target.len())]
    }

    /// Whether the connection must be closed after the response.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.is_http10 || self.headers.contains_token("connection", "close")
    }

    /// Encodes a request head. `target` is the path and query.
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
