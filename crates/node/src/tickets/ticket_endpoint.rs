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

/// Path of calls with tickets that other nodes pass on.
pub const TICKET_PATH: &str = "/internal/tickets/";
/// Path at which a node that stops offers its tickets.
pub const HANDOVER_PATH: &str = "/internal/handover";
/// Largest offer: the kept answers and the entries of the largest ledger.
pub(super) const OFFER_LIMIT: ByteSize = ByteSize::from_mib(64);
/// Time for the body of an offer.
const OFFER_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);

/// Answers calls of other nodes about tickets.
#[derive(Clone, Debug)]
pub struct TicketEndpoint {
    node: Arc<NodeState>,
    front: TicketHandler,
}

impl TicketEndpoint {
    /// Creates the endpoint of a node.
    #[must_use]
    pub fn new(node: Arc<NodeState>) -> Self {
        let front = TicketHandler::new(Arc::clone(&node));
        Self { node, front }
    }

    /// Answers a request to [`TICKET_PATH`] or [`HANDOVER_PATH`], and nothing
    /// for other paths.
    pub async fn answer(&self, request: Request, stream: &MeteredStream) -> Option<Response> {
        let path = request.url().path().to_owned();
        let ticket = path.strip_prefix(TICKET_PATH);
        if ticket.is_none() && path != HANDOVER_PATH {
            return None;
        }
        if !self.admits(&request) {
            return Some(refuse(StatusCode::Unauthorized));
        }
        if request.method() != Method::Post {
            return Some(refuse(StatusCode::MethodNotAllowed));
        }
        let _open = self.node.tickets.begin_call();
        Some(match ticket {
            Some(text) => self.front.answer(request, stream, text, true).await,
            None => self.adopt(request).await,
        })
    }

    async fn adopt(&self, mut request: Request) -> Response {
        let length = request.len();
        let body = read_body(request.take_body(), length, OFFER_LIMIT, OFFER_TIMEOUT).await;
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
        slog::info!(self.node.log, "tickets: Ledger offered.";
            "from" => %offer.from, "reply" => ?reply);
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(rmp_serde::to_vec(&reply).unwrap_or_default());
        response.insert_header("content-type", MESSAGE_TYPE);
        response
    }

    fn admits(&self, request: &Request) -> bool {
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
