use std::{net::SocketAddr, time::Duration};

use http_types::Method;
use verbenahub_core::protocol::{headers::AUTHORIZATION, paths};

use super::{CallerVerdict, SamplePipeline};
use crate::network::HttpCall;

/// Longest that a caller waits by default.
const CALLER_LIMIT: Duration = Duration::from_secs(12);

/// A caller who sends requests to one node.
#[derive(Clone, Copy, Debug)]
pub struct PipelineCaller {
    /// The node.
    pub node: SocketAddr,
    /// Longest that the caller waits.
    pub limit: Duration,
}

/// Path of a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketPath(pub String);

impl PipelineCaller {
    /// Creates a caller with the default patience.
    #[must_use]
    pub fn new(node: SocketAddr) -> Self {
        let limit = CALLER_LIMIT;
        Self { node, limit }
    }

    /// Sets the longest that the caller waits.
    #[must_use]
    pub fn limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    /// Sends a request and waits for the answer, with a ticket where one is needed.
    #[must_use]
    pub fn call(&self, pipeline: SamplePipeline, body: &[u8]) -> CallerVerdict {
        if pipeline.streams() {
            let path = format!("{}{}", paths::PIPELINES, pipeline.name());
            return CallerVerdict::of_stream(self.post(pipeline, &path, body).send());
        }
        match self.ticket(pipeline, body) {
            Ok(ticket) => self.redeem(pipeline, &ticket, body),
            Err(verdict) => verdict,
        }
    }

    /// Asks for a ticket.
    ///
    /// # Errors
    ///
    /// Fails with what the caller was told instead.
    pub fn ticket(
        &self,
        pipeline: SamplePipeline,
        body: &[u8],
    ) -> Result<TicketPath, CallerVerdict> {
        let path = format!("{}{}", paths::PIPELINES, pipeline.name());
        let answer = match self.post(pipeline, &path, body).send() {
            Ok(answer) => answer,
            Err(error) => return Err(CallerVerdict::Cut(error.to_string())),
        };
        let location = answer.header("location");
        match (answer.status, location) {
            (307, Some(location)) => Ok(TicketPath(location.to_owned())),
            _ => Err(CallerVerdict::of_error(&answer)),
        }
    }

    /// Runs the request of a ticket, or asks for its answer again.
    #[must_use]
    pub fn redeem(
        &self,
        pipeline: SamplePipeline,
        ticket: &TicketPath,
        body: &[u8],
    ) -> CallerVerdict {
        CallerVerdict::of_bytes(self.post(pipeline, &ticket.0, body).send())
    }

    /// The call of a request, to be sent in another manner.
    #[must_use]
    pub fn post(&self, pipeline: SamplePipeline, path: &str, body: &[u8]) -> HttpCall {
        HttpCall::new(self.node, Method::Post, path)
            .header(AUTHORIZATION, pipeline.credentials())
            .body(body)
            .limit(self.limit)
    }
}
