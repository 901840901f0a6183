use std::net::SocketAddr;

use bytes::Bytes;
use http_types::{Body, Method, Request, Url};

/// One header of a call.
#[derive(Clone, Debug)]
pub struct CallHeader {
    /// Name of the header.
    pub name: &'static str,
    /// Its value.
    pub value: String,
}

/// A call that can be sent to any node, more than once.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// Method of HTTP.
    pub method: Method,
    /// Path on the node, from `/`.
    pub path: String,
    /// Headers.
    pub headers: Vec<CallHeader>,
    /// Body.
    pub body: Bytes,
}

impl OutgoingCall {
    /// Creates a `GET` call.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::Get,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// The call as HTTP for one node; nothing if the path cannot be one.
    pub(super) fn to_request(&self, node: SocketAddr) -> Option<Request> {
        let url = Url::parse(&format!("http://{node}{}", self.path)).ok()?;
        let mut request = Request::new(self.method, url);
        for header in &self.headers {
            request.insert_header(header.name, header.value.as_str());
        }
        if self.method != Method::Get {
            request.set_body(Body::from_bytes(self.body.to_vec()));
        }
        Some(request)
    }
}
