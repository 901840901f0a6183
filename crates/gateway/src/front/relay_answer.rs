use bytes::{Bytes, BytesMut};

use super::forward_headers::is_of_connection;
use crate::http::{HeaderList, ResponseHead};

/// A target's whole answer, on its way to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayAnswer {
    /// Head as the target sent it.
    pub head: ResponseHead,
    /// Whole body.
    pub body: Bytes,
}

impl RelayAnswer {
    /// The answer as bytes. `closes` ends the connection.
    #[must_use]
    pub fn encode(&self, closes: bool) -> BytesMut {
        let mut headers = end_to_end(&self.head);
        headers.push("Content-Length", self.body.len().to_string());
        if closes {
            headers.push("Connection", "close");
        }
        let mut message = ResponseHead::encode(self.head.status, &self.head.reason, &headers);
        message.extend_from_slice(&self.body);
        message
    }

    /// Head of an answer whose body follows in chunks.
    #[must_use]
    pub fn encode_stream_head(head: &ResponseHead, closes: bool) -> BytesMut {
        let mut headers = end_to_end(head);
        headers.push("Transfer-Encoding", "chunked");
        if closes {
            headers.push("Connection", "close");
        }
        ResponseHead::encode(head.status, &head.reason, &headers)
    }
}

/// Headers that don't concern the connection to the target alone.
fn end_to_end(head: &ResponseHead) -> HeaderList {
    let mut headers = HeaderList::default();
    let passing = head.headers.iter().filter(|field| !is_of_connection(field));
    for field in passing {
        headers.push_field(field.clone());
    }
    headers
}
