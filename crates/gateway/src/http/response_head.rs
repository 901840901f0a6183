use bytes::{Bytes, BytesMut};

use super::HeaderList;

/// Status line and headers as they were received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: Bytes,
    /// Whether the sender uses HTTP/1.0.
    pub is_http10: bool,
    /// Headers in order.
    pub headers: HeaderList,
}

impl ResponseHead {
    /// Whether the sender will close the connection after the body.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.is_http10 || self.headers.contains_token("connection", "close")
    }

    /// Encodes a response head.
    #[must_use]
    pub fn encode(status: u16, reason: &[u8], headers: &HeaderList) -> BytesMut {
        let mut buffer = BytesMut::with_capacity(1 << 10);
        buffer.extend_from_slice(format!("HTTP/1.1 {status} ").as_bytes());
        buffer.extend_from_slice(reason);
        buffer.extend_from_slice(b"\r\n");
        headers.write(&mut buffer);
        buffer.extend_from_slice(b"\r\n");
        buffer
    }
}
