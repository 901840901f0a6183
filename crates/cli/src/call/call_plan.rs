use std::net::SocketAddr;

use bytes::Bytes;
use verbenahub_core::{
    clock::TimeSpan,
    ids::{PipelineName, WorkspaceId},
    protocol::headers,
};

use crate::http::CallHeader;

/// What to call and how often to try.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Nodes in the order in which they are tried.
    pub nodes: Vec<SocketAddr>,
    /// The pipeline.
    pub pipeline: PipelineName,
    /// The workspace on whose behalf the request runs.
    pub workspace: WorkspaceId,
    /// Its secret.
    pub secret: String,
    /// Body of the request.
    pub body: Bytes,
    /// A deadline shorter than that of the record.
    pub deadline: Option<TimeSpan>,
    /// Key under which one node gives the same ticket again.
    pub idempotency_key: Option<String>,
    /// Trace context to join.
    pub traceparent: Option<String>,
    /// Most first calls; further ones only after a broken connection.
    pub first_tries: u32,
    /// Most calls of a ticket.
    pub ticket_tries: u32,
    /// Shortest pause before a ticket is called again.
    pub pause: TimeSpan,
    /// Longest time for all calls together.
    pub timeout: TimeSpan,
}

impl CallPlan {
    /// Headers of every call.
    pub(super) fn headers(&self) -> Vec<CallHeader> {
        let credentials = format!("Bearer {}:{}", self.workspace, self.secret);
        let mut headers = vec![new_header(headers::AUTHORIZATION, credentials)];
        let deadline = self.deadline.map(|span| span.as_millis().to_string());
        let optional = [
            (headers::DEADLINE_MS, deadline),
            (headers::IDEMPOTENCY_KEY, self.idempotency_key.clone()),
            (headers::TRACEPARENT, self.traceparent.clone()),
        ];
        for (name, value) in optional {
            headers.extend(value.map(|value| new_header(name, value)));
        }
        headers
    }
}

fn new_header(name: &'static str, value: String) -> CallHeader {
    CallHeader { name, value }
}
