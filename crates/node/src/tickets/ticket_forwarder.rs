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

/// Response header with the address of the node that adopted a ticket.
pub(super) const MOVED_TO: &str = "verbenahub-moved-to";
/// Number of likely successors to call when no handover is known.
const LIKELY_SUCCESSORS: usize = 2;
/// Maximum length of a chain of handovers to follow.
const MAX_HANDOVER_CHAIN: usize = 4;
/// Response headers that are copied to the answer for the caller.
const FORWARDED_HEADERS: [&str; 4] = [
    "content-type",
    headers::REQUEST_ID,
    headers::RETRY_AFTER,
    headers::RETRY_AFTER_MS,
];

/// Forwards calls to the nodes that hold their tickets.
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

    /// Forwards a call. `moved_to` is the holder of the ticket, if this node knows
    /// it.
    ///
    /// # Errors
    ///
    /// Fails when no reachable node holds the ticket, or when the answer of its
    /// holder is lost.
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
            slog::debug!(self.node.log, "tickets: The called node did not answer for the ticket.";
                "ticket" => %call.ticket.key(), "event" => ?event);
            step = route.handle(event);
        }
    }

    /// The nodes to call, the likeliest holder first.
    fn route(&self, call: &TicketCall, moved_to: Option<TicketHolder>) -> ForwardRoute {
        let members = &self.node.cluster.view().members;
        let issuer = call.ticket.issuer();
        let own = self.node.tickets.holder().address;
        let mut addresses: Vec<SocketAddr> = moved_to
            .into_iter()
            .map(|holder| holder.address)
            .chain(handover_chain(members, issuer).into_iter().rev())
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
        // A reused connection may be dead without any error, and a call may
        // legitimately take long, so a missing response would not reveal that.
        let choice = ConnectionChoice::Fresh;
        let time_left = self.node.now().until(call.deadline);
        let Some(request) = self.build_request(address, call, time_left) else {
            return Err(ForwardEvent::NotConnected);
        };
        let response = self
            .node
            .clients
            .call(address, request, choice, time_left)
            .await;
        match response {
            Ok(response) => self.read_answer(response, time_left).await,
            Err(error) if error.is_unsent() => Err(ForwardEvent::NotConnected),
            Err(_) => Err(ForwardEvent::AnswerLost),
        }
    }

    fn build_request(
        &self,
        address: SocketAddr,
        call: &TicketCall,
        time_left: TimeSpan,
    ) -> Option<Request> {
        let ticket = call.ticket.as_str();
        let url = Url::parse(&format!("http://{address}{TICKET_PATH}{ticket}")).ok()?;
        let mut request = Request::new(Method::Post, url);
        let settings = &self.node.settings;
        request.insert_header(headers::CLUSTER_SECRET, settings.cluster_secret.expose());
        request.insert_header(headers::FORWARDED_BY, settings.node.as_str());
        request.insert_header(headers::AUTHORIZATION, call.authorization.as_str());
        request.insert_header(headers::DEADLINE_MS, time_left.as_millis().to_string());
        if let Some(parent) = call.span.traceparent() {
            request.insert_header(headers::TRACEPARENT, parent);
        }
        request.set_body(call.body.as_ref());
        Some(request)
    }

    async fn read_answer(
        &self,
        response: CallResponse<'_>,
        time_left: TimeSpan,
    ) -> Result<Response, ForwardEvent> {
        if response.status() == StatusCode::MisdirectedRequest {
            let moved = response.parsed_header(MOVED_TO).map(ForwardEvent::Moved);
            response.finish();
            return Err(moved.unwrap_or(ForwardEvent::NotOwner));
        }
        let mut answer = Response::new(response.status());
        for name in FORWARDED_HEADERS {
            if let Some(value) = response.header(name) {
                answer.insert_header(name, value);
            }
        }
        let limit = self.node.settings.limits.answer;
        match response.into_body(limit, time_left).await {
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

/// Addresses of the node processes to which the tickets of `issuer` were handed
/// over, in order.
fn handover_chain(members: &MemberList, issuer: &IncarnationKey) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    let mut next = members.successor(&issuer.node, issuer.incarnation);
    while let Some((node, incarnation)) = next {
        addresses.extend(members.get(node).map(|member| member.address));
        if addresses.len() >= MAX_HANDOVER_CHAIN {
            break;
        }
        next = members.successor(node, *incarnation);
    }
    addresses
}

/// Addresses of the nodes to which the node process `run` offers its tickets
/// first.
fn likely_successors(members: &MemberList, run: &IncarnationKey) -> Vec<SocketAddr> {
    let ranked = rank_successors(members, run, LIKELY_SUCCESSORS);
    ranked.into_iter().map(|member| member.address).collect()
}
