use std::sync::Arc;

use http_types::{Method, Request, Response, StatusCode};
use verbenahub_core::{
    clock::TimeSpan,
    protocol::headers,
    ticket::handover::{HandoverOffer, HandoverReply},
    units::ByteSize,
};

use super::TicketHandler;
use crate::{
    connection::{MeteredStream, read_body},
    consts::MESSAGE_TYPE,
    process::NodeState,
};

/// Path prefix of calls with tickets that other nodes forward.
pub const TICKET_PATH: &str = "/internal/tickets/";
/// Path at which a node that is shutting down offers its tickets.
pub const HANDOVER_PATH: &str = "/internal/handover";
/// Maximum size of an offer: the kept answers and the entries of the largest
/// ledger.
pub(super) const MAX_OFFER_SIZE: ByteSize = ByteSize::from_mib(64);
/// Timeout for receiving the body of an offer.
const OFFER_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);

/// Handles the calls of other nodes that concern tickets.
#[derive(Clone, Debug)]
pub struct TicketEndpoint {
    node: Arc<NodeState>,
    handler: TicketHandler,
}

impl TicketEndpoint {
    /// Creates the endpoint of a node.
    #[must_use]
    pub fn new(node: Arc<NodeState>) -> Self {
        let handler = TicketHandler::new(Arc::clone(&node));
        Self { node, handler }
    }

    /// Handles a request to [`TICKET_PATH`] or [`HANDOVER_PATH`]. Returns `None`
    /// for other paths.
    pub async fn answer(&self, request: Request, stream: &MeteredStream) -> Option<Response> {
        let path = request.url().path().to_owned();
        let ticket = path.strip_prefix(TICKET_PATH);
        if ticket.is_none() && path != HANDOVER_PATH {
            return None;
        }
        if !self.is_authorized(&request) {
            return Some(refuse(StatusCode::Unauthorized));
        }
        if request.method() != Method::Post {
            return Some(refuse(StatusCode::MethodNotAllowed));
        }
        let _open = self.node.tickets.begin_call();
        Some(match ticket {
            Some(text) => self.handler.answer(request, stream, text, true).await,
            None => self.adopt(request).await,
        })
    }

    async fn adopt(&self, mut request: Request) -> Response {
        let length = request.len();
        let body = read_body(request.take_body(), length, MAX_OFFER_SIZE, OFFER_TIMEOUT).await;
        let Ok(body) = body else {
            return refuse(StatusCode::BadRequest);
        };
        let Ok(offer) = rmp_serde::from_slice::<HandoverOffer>(&body) else {
            return refuse(StatusCode::BadRequest);
        };
        let reply = self.node.tickets.adopt(&offer, self.node.now());
        let event = match reply {
            HandoverReply::Adopted => "adopted",
            HandoverReply::Declined(_) => "declined",
        };
        let metric = &self.node.metrics.tickets;
        metric.with_label_values(&[event]).inc();
        slog::info!(self.node.log, "tickets: Received a ledger offer.";
            "from" => %offer.from, "reply" => ?reply);
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(rmp_serde::to_vec(&reply).unwrap_or_default());
        response.insert_header("content-type", MESSAGE_TYPE);
        response
    }

    /// Whether the request carries the secret of the cluster.
    fn is_authorized(&self, request: &Request) -> bool {
        let secret = request.header(headers::CLUSTER_SECRET);
        self.node
            .cluster
            .admits(secret.map(|values| values.last().as_str()))
    }
}

fn refuse(status: StatusCode) -> Response {
    let mut response = Response::new(status);
    response.insert_header("connection", "close");
    response
}
