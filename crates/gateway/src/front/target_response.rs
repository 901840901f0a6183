use bytes::{Bytes, BytesMut};

use super::forward_headers::is_hop_by_hop;
use crate::http::{HeaderList, ResponseHead};

/// A target's complete response, to be relayed to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetResponse {
    /// Status line and headers as the target sent them.
    pub head: ResponseHead,
    /// Complete body.
    pub body: Bytes,
}

impl TargetResponse {
    /// Encodes the response. `closes` announces that the connection is closed
    /// after it.
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

    /// Encodes the head of a response whose body follows in chunked encoding.
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

/// Headers of a response without the hop-by-hop headers.
fn end_to_end(head: &ResponseHead) -> HeaderList {
    let mut headers = HeaderList::default();
    let forwarded = head.headers.iter().filter(|field| !is_hop_by_hop(field));
    for field in forwarded {
        headers.push_field(field.clone());
    }
    headers
}
