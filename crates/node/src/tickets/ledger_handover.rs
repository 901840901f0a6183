use std::sync::Arc;

use http_types::{Method, Request, Url};
use smol::Timer;
use verbenahub_core::{
    clock::TimeSpan,
    protocol::headers,
    ticket::{
        IncarnationKey, LedgerSeal, TicketHolder,
        handover::{HandoverEvent, HandoverMachine, HandoverReply, HandoverStep, HandoverTiming},
    },
    units::ByteSize,
};

use super::{successor_rank::rank_successors, ticket_endpoint::HANDOVER_PATH};
use crate::{connection::ConnectionChoice, consts::MESSAGE_TYPE, process::NodeState};

/// Delay before an offer is repeated whose reply was lost.
const OFFER_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(200);
/// Timeout for one offer and its reply.
const OFFER_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);
/// Maximum number of nodes to which the ledger is offered.
const MAX_CANDIDATES: usize = 5;
/// Maximum size of the reply to an offer.
const MAX_REPLY_SIZE: ByteSize = ByteSize::from_kib(1);

/// Hands the tickets of this process over to another node at shutdown.
#[derive(Debug)]
pub struct LedgerHandover {
    node: Arc<NodeState>,
}

impl LedgerHandover {
    /// Creates the handover of a node.
    #[must_use]
    pub const fn new(node: Arc<NodeState>) -> Self {
        Self { node }
    }

    /// Seals the ledger and offers it to other nodes until one adopts it, no
    /// candidate is left or `limit` has passed. Returns the successor, if any.
    pub async fn run(&self, limit: TimeSpan) -> Option<TicketHolder> {
        let seal = self.node.tickets.seal()?;
        if self.node.tickets.usage().tickets == 0 {
            self.node.tickets.release(seal, None);
            return None;
        }
        let successor = self.offer_ledger(&seal, limit).await;
        if let Some(holder) = &successor {
            let successor_run = holder.incarnation.clone();
            self.node
                .cluster
                .hand_over(successor_run.node, successor_run.incarnation)
                .await;
        }
        let event = if successor.is_some() {
            "handed_over"
        } else {
            "handover_failed"
        };
        let metric = &self.node.metrics.tickets;
        metric.with_label_values(&[event]).inc();
        slog::info!(self.node.log, "tickets: Released the ledger.";
            "successor" => successor.as_ref().map(|holder| holder.incarnation.to_string()));
        self.node.tickets.release(seal, successor.clone());
        successor
    }

    async fn offer_ledger(&self, seal: &LedgerSeal, limit: TimeSpan) -> Option<TicketHolder> {
        let timing = HandoverTiming {
            pause: OFFER_RETRY_DELAY,
            give_up_at: self.node.now() + limit,
        };
        let mut machine = HandoverMachine::new(self.candidates(), timing);
        let mut step = machine.begin();
        loop {
            let (to, pause) = match step {
                HandoverStep::Offer { to, pause } => (to, pause),
                HandoverStep::Done(holder) => return Some(holder),
                HandoverStep::Lost => return None,
            };
            Timer::after(pause.into()).await;
            let event = self.offer(seal, &to).await;
            step = machine.handle(event, self.node.now());
        }
    }

    /// The nodes to which the ledger is offered. Other nodes compute the same list
    /// to find the tickets.
    fn candidates(&self) -> Vec<TicketHolder> {
        let members = &self.node.cluster.view().members;
        let own = &self.node.tickets.holder().incarnation;
        rank_successors(members, own, MAX_CANDIDATES)
            .into_iter()
            .map(|member| TicketHolder {
                incarnation: IncarnationKey {
                    node: member.node.clone(),
                    incarnation: member.incarnation,
                },
                address: member.address,
            })
            .collect()
    }

    async fn offer(&self, seal: &LedgerSeal, to: &TicketHolder) -> HandoverEvent {
        let now = self.node.now();
        let offer = self.node.tickets.offer(seal, to.incarnation.clone(), now);
        let url = Url::parse(&format!("http://{}{HANDOVER_PATH}", to.address));
        let (Ok(url), Ok(body)) = (url, rmp_serde::to_vec(&offer)) else {
            return HandoverEvent::NotConnected;
        };
        let mut request = Request::new(Method::Post, url);
        let secret = &self.node.settings.cluster_secret;
        request.insert_header(headers::CLUSTER_SECRET, secret.expose());
        request.set_body(body);
        request.insert_header("content-type", MESSAGE_TYPE);
        let choice = ConnectionChoice::Fresh;
        let call = self
            .node
            .clients
            .call(to.address, request, choice, OFFER_TIMEOUT);
        let response = match call.await {
            Ok(response) if response.status().is_success() => response,
            Err(error) if error.is_unsent() => return HandoverEvent::NotConnected,
            Ok(_) | Err(_) => return HandoverEvent::ReplyLost,
        };
        let body = response.into_body(MAX_REPLY_SIZE, OFFER_TIMEOUT).await;
        let reply = body
            .ok()
            .and_then(|body| rmp_serde::from_slice::<HandoverReply>(&body).ok());
        reply.map_or(HandoverEvent::ReplyLost, HandoverEvent::Replied)
    }
}
