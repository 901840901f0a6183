use std::sync::Arc;

use http_types::{Request, Response, StatusCode};
use verbenahub_core::{clock::TimeSpan, protocol::headers, units::ByteSize};

use crate::{connection::read_body, consts::MESSAGE_TYPE, process::NodeState};

/// Path of calls between nodes about leases.
pub const LEASE_PATH: &str = "/internal/lease";
/// Largest batch.
const BATCH_LIMIT: ByteSize = ByteSize::from_mib(1);
/// Time for the body of a call.
const BODY_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// Answers other nodes' wishes for leases.
#[derive(Clone, Debug)]
pub struct LeaseEndpoint {
    node: Arc<NodeState>,
}

impl LeaseEndpoint {
    /// Creates the endpoint of a node.
    #[must_use]
    pub const fn new(node: Arc<NodeState>) -> Self {
        Self { node }
    }

    /// Answers a request to [`LEASE_PATH`].
    pub async fn answer(&self, request: Request) -> Response {
        match self.try_answer(request).await {
            Ok(body) => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(body);
                response.insert_header("content-type", MESSAGE_TYPE);
                response
            }
            Err(status) => {
                let mut response = Response::new(status);
                response.insert_header("connection", "close");
                response
            }
        }
    }

    async fn try_answer(&self, mut request: Request) -> Result<Vec<u8>, StatusCode> {
        let secret = request.header(headers::CLUSTER_SECRET);
        let secret = secret.map(|values| values.last().as_str());
        if !self.node.cluster.admits(secret) {
            return Err(StatusCode::Unauthorized);
        }
        let length = request.len();
        let body = read_body(request.take_body(), length, BATCH_LIMIT, BODY_TIMEOUT)
            .await
            .map_err(|_| StatusCode::BadRequest)?;
        let batch = rmp_serde::from_slice(&body).map_err(|_| StatusCode::BadRequest)?;
        let reply = self.node.limits.answer(&batch, self.node.now());
        rmp_serde::to_vec(&reply).map_err(|_| StatusCode::InternalServerError)
    }
}
