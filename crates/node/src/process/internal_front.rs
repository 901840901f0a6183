use std::sync::Arc;

use http_types::{Request, Response, StatusCode};

use super::{
    NodeState,
    limits::{LEASE_PATH, LeaseEndpoint},
};
use crate::{
    cluster::{GOSSIP_PATH, GossipEndpoint},
    connection::MeteredStream,
    tickets::TicketEndpoint,
};

/// Answers the calls of other nodes.
#[derive(Clone, Debug)]
pub struct InternalFront {
    gossip: GossipEndpoint,
    leases: LeaseEndpoint,
    tickets: TicketEndpoint,
}

impl InternalFront {
    /// Creates the front of a node.
    #[must_use]
    pub fn new(node: &Arc<NodeState>) -> Self {
        Self {
            gossip: GossipEndpoint::new(Arc::clone(&node.cluster)),
            leases: LeaseEndpoint::new(Arc::clone(node)),
            tickets: TicketEndpoint::new(Arc::clone(node)),
        }
    }

    /// Answers one request of the internal interface.
    pub async fn answer(self, request: Request, stream: MeteredStream) -> Response {
        match request.url().path() {
            GOSSIP_PATH => self.gossip.answer(request).await,
            LEASE_PATH => self.leases.answer(request).await,
            _ => {
                let answer = self.tickets.answer(request, &stream).await;
                answer.unwrap_or_else(not_found)
            }
        }
    }
}

fn not_found() -> Response {
    let mut response = Response::new(StatusCode::NotFound);
    response.insert_header("connection", "close");
    response
}
