use std::{net::SocketAddr, sync::Arc};

use http_types::{Method, Request, Response, StatusCode, Url};
use verbenahub_core::{
    clock::TimeSpan,
    cluster::MemberList,
    protocol::headers,
    ticket::{
        IncarnationKey, TicketHolder,
        forward::{ForwardEvent, ForwardFailure, ForwardRoute, ForwardStep},
    },
};

use super::{TicketCall, successor_rank::rank_successors, ticket_endpoint::TICKET_PATH};
use crate::{
    connection::{CallResponse, ConnectionChoice},
    process::NodeState,
};

/// Header with which a node says where a ticket has gone.
pub(super) const MOVED_TO: &str = "verbenahub-moved-to";
/// Likely successors that are asked when no handover is known.
const LIKELY_SUCCESSORS: usize = 2;
/// Longest chain of handovers that is followed.
const CHAIN_LIMIT: usize = 4;
/// Headers of an answer that are passed on.
const PASSED_HEADERS: [&str; 4] = [
    "content-type",
    headers::REQUEST_ID,
    headers::RETRY_AFTER,
    headers::RETRY_AFTER_MS,
];

/// Passes calls on to the nodes that hold their tickets.
#[derive(Clone, Debug)]
pub struct TicketForwarder {
    node: Arc<NodeState>,
}

impl TicketForwarder {
    /// Creates the forwarder of a node.
    #[must_use]
    pub const fn new(node: Arc<NodeState>) -> Self {
        Self { node }
    }

    /// Passes a call on. `moved_to` is where this node knows the ticket to be.
    ///
    /// # Errors
    ///
    /// Fails when no node that can be reached holds the ticket, or when its
    /// answer is lost.
    pub async fn forward(
        &self,
        call: &TicketCall,
        moved_to: Option<TicketHolder>,
    ) -> Result<Response, ForwardFailure> {
        let mut route = self.route(call, moved_to);
        let mut step = route.begin();
        loop {
            let address = match step {
                ForwardStep::Call(address) => address,
                ForwardStep::GiveUp(failure) => return Err(failure),
                ForwardStep::ReturnAnswer => return Err(ForwardFailure::AnswerLost),
            };
            let event = match self.call(address, call).await {
                Ok(response) => return Ok(response),
                Err(event) => event,
            };
            slog::debug!(self.node.log, "tickets: Holder not found yet.";
                "ticket" => %call.ticket.key(), "event" => ?event);
            step = route.handle(event);
        }
    }

    /// The nodes to ask, the likeliest holder first.
    fn route(&self, call: &TicketCall, moved_to: Option<TicketHolder>) -> ForwardRoute {
        let members = &self.node.cluster.view().members;
        let issuer = call.ticket.issuer();
        let own = self.node.tickets.holder().address;
        let mut addresses: Vec<SocketAddr> = moved_to
            .into_iter()
            .map(|holder| holder.address)
            .chain(chain_of(members, issuer).into_iter().rev())
            .chain([call.ticket.address()])
            .chain(likely_successors(members, issuer))
            .filter(|address| *address != own)
            .collect();
        let first = if addresses.is_empty() {
            call.ticket.address()
        } else {
            addresses.remove(0)
        };
        ForwardRoute::new(first, addresses)
    }

    async fn call(&self, address: SocketAddr, call: &TicketCall) -> Result<Response, ForwardEvent> {
        // A connection that was kept open may have gone silent, and a call may
        // rightly take long, so its silence would tell nothing.
        let choice = ConnectionChoice::Fresh;
        let left = self.node.now().until(call.deadline);
        let Some(request) = self.request(address, call, left) else {
            return Err(ForwardEvent::NotConnected);
        };
        let response = self.node.clients.call(address, request, choice, left).await;
        match response {
            Ok(response) => self.read_answer(response, left).await,
            Err(error) if error.is_unsent() => Err(ForwardEvent::NotConnected),
            Err(_) => Err(ForwardEvent::AnswerLost),
        }
    }

    fn request(&self, address: SocketAddr, call: &TicketCall, left: TimeSpan) -> Option<Request> {
        let ticket = call.ticket.as_str();
        let url = Url::parse(&format!("http://{address}{TICKET_PATH}{ticket}")).ok()?;
        let mut request = Request::new(Method::Post, url);
        let settings = &self.node.settings;
        request.insert_header(headers::CLUSTER_SECRET, settings.cluster_secret.expose());
        request.insert_header(headers::FORWARDED_BY, settings.node.as_str());
        request.insert_header(headers::AUTHORIZATION, call.authorization.as_str());
        request.insert_header(headers::DEADLINE_MS, left.as_millis().to_string());
        if let Some(parent) = call.span.traceparent() {
            request.insert_header(headers::TRACEPARENT, parent);
        }
        request.set_body(call.body.as_ref());
        Some(request)
    }

    async fn read_answer(
        &self,
        response: CallResponse<'_>,
        left: TimeSpan,
    ) -> Result<Response, ForwardEvent> {
        if response.status() == StatusCode::MisdirectedRequest {
            let moved = response.parsed_header(MOVED_TO).map(ForwardEvent::Moved);
            response.finish();
            return Err(moved.unwrap_or(ForwardEvent::NotOwner));
        }
        let mut answer = Response::new(response.status());
        for name in PASSED_HEADERS {
            if let Some(value) = response.header(name) {
                answer.insert_header(name, value);
            }
        }
        let limit = self.node.settings.limits.answer;
        match response.into_body(limit, left).await {
            Ok(body) => {
                let media_type = answer.content_type();
                answer.set_body(body.as_ref());
                if let Some(media_type) = media_type {
                    answer.set_content_type(media_type);
                }
                Ok(answer)
            }
            Err(_) => Err(ForwardEvent::AnswerLost),
        }
    }
}

/// Addresses of the runs to which a run's tickets went, in order.
fn chain_of(members: &MemberList, issuer: &IncarnationKey) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    let mut next = members.successor(&issuer.node, issuer.incarnation);
    while let Some((node, incarnation)) = next {
        addresses.extend(members.get(node).map(|member| member.address));
        if addresses.len() >= CHAIN_LIMIT {
            break;
        }
        next = members.successor(node, *incarnation);
    }
    addresses
}

/// The nodes to which a run would offer its tickets first.
fn likely_successors(members: &MemberList, run: &IncarnationKey) -> Vec<SocketAddr> {
    let ranked = rank_successors(members, run, LIKELY_SUCCESSORS);
    ranked.into_iter().map(|member| member.address).collect()
}
