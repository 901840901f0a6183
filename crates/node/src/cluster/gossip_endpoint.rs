use std::sync::Arc;

use http_types::{Method, Request, Response, StatusCode};
use verbenahub_core::{clock::TimeSpan, protocol::headers, units::ByteSize};

use super::{ClusterLink, LinkError};
use crate::{
    connection::{BodyError, read_body},
    consts::MESSAGE_TYPE,
};

/// Path of calls between nodes about members and feeds.
pub const GOSSIP_PATH: &str = "/internal/gossip";
/// Largest message.
pub(super) const MESSAGE_LIMIT: ByteSize = ByteSize::from_mib(8);
/// Time for the body of a call.
const BODY_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);

/// Answers calls of other nodes about members and feeds.
#[derive(Clone, Debug)]
pub struct GossipEndpoint {
    link: Arc<ClusterLink>,
}

impl GossipEndpoint {
    /// Creates the endpoint of a node.
    #[must_use]
    pub const fn new(link: Arc<ClusterLink>) -> Self {
        Self { link }
    }

    /// Answers a request to [`GOSSIP_PATH`].
    pub async fn answer(&self, request: Request) -> Response {
        let status = match self.try_answer(request).await {
            Ok(body) => return message_response(body),
            Err(status) => status,
        };
        let mut response = Response::new(status);
        response.insert_header("connection", "close");
        response
    }

    async fn try_answer(&self, mut request: Request) -> Result<Vec<u8>, StatusCode> {
        if request.method() != Method::Post {
            return Err(StatusCode::MethodNotAllowed);
        }
        let secret = request.header(headers::CLUSTER_SECRET);
        if !self
            .link
            .admits(secret.map(|values| values.last().as_str()))
        {
            return Err(StatusCode::Unauthorized);
        }
        let length = request.len();
        let body = read_body(request.take_body(), length, MESSAGE_LIMIT, BODY_TIMEOUT)
            .await
            .map_err(|error| self.refuse(&error))?;
        let call = rmp_serde::from_slice(&body).map_err(|_| {
            self.link.count_refused();
            StatusCode::BadRequest
        })?;
        let reply = self.link.answer(call).await.map_err(link_status)?;
        rmp_serde::to_vec(&reply).map_err(|_| StatusCode::InternalServerError)
    }

    fn refuse(&self, error: &BodyError) -> StatusCode {
        self.link.count_refused();
        match error {
            BodyError::TooLarge(_) => StatusCode::PayloadTooLarge,
            BodyError::Timeout => StatusCode::RequestTimeout,
            _ => StatusCode::BadRequest,
        }
    }
}

fn link_status(error: LinkError) -> StatusCode {
    match error {
        LinkError::Busy => StatusCode::ServiceUnavailable,
        LinkError::OwnCall => StatusCode::Conflict,
        LinkError::Timeout => StatusCode::GatewayTimeout,
    }
}

fn message_response(body: Vec<u8>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.insert_header("content-type", MESSAGE_TYPE);
    response
}
