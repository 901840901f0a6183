use std::sync::Arc;

use futures_lite::FutureExt;
use http_types::{Request, Response, StatusCode};
use smol::Timer;
use verbenahub_core::{
    clock::TimeSpan,
    protocol::{AnswerOutcome, ErrorBody, ErrorCode, headers, paths},
    records::{PipelineRecord, WorkspaceRecord},
    ticket::{BodyDigest, CallTicket, IdempotencyKey, IssueRefusal, TicketHolder, TicketRefusal},
};

use super::{
    TicketAction, TicketCall, TicketForwarder, TicketUpdate,
    answer_encoding::response_of,
    ticket_forwarder::MOVED_TO,
    ticket_run::{start_run, still_running},
};
use crate::{
    connection::MeteredStream,
    process::NodeState,
    request::{CallerCredentials, IncomingRequest, RequestRefusal, read_request_body},
};

/// Time for a call whose pipeline this node does not know.
const DEFAULT_WAIT: TimeSpan = TimeSpan::from_secs(10);
/// When to come back to a node that is starting or stopping.
const SHORT_RETRY: TimeSpan = TimeSpan::from_secs(1);

/// Issues tickets and answers calls with tickets.
///
/// Of a call with a valid ticket only the ledger says `not_run`: whatever else
/// fails here, an earlier call with the same ticket may have run.
#[derive(Clone, Debug)]
pub struct TicketHandler {
    node: Arc<NodeState>,
    forwarder: TicketForwarder,
}

impl TicketHandler {
    /// Creates the front of a node.
    #[must_use]
    pub fn new(node: Arc<NodeState>) -> Self {
        let forwarder = TicketForwarder::new(Arc::clone(&node));
        Self { node, forwarder }
    }

    /// Redirects a request with a non-idempotent stage to a new ticket.
    ///
    /// # Errors
    ///
    /// Fails with the answer for the caller. Nothing was run.
    pub fn redirect(
        &self,
        request: &Request,
        workspace: &WorkspaceRecord,
        pipeline: &PipelineRecord,
    ) -> Result<Response, RequestRefusal> {
        let key = read_key(request)?;
        let now = self.node.now();
        let issued = self
            .node
            .tickets
            .issue(&pipeline.name, &workspace.id, key.as_ref(), now);
        let ticket = issued.map_err(|refusal| {
            self.count("issue_refused");
            refuse_issue(refusal)
        })?;
        self.count("issued");
        let mut response = Response::new(StatusCode::TemporaryRedirect);
        response.insert_header("location", format!("{}{}", paths::TICKETS, ticket.as_str()));
        Ok(response)
    }

    /// Answers a call with a ticket. `forwarded` when another node passes it
    /// on; it is not passed on again.
    pub async fn answer(
        &self,
        request: Request,
        stream: &MeteredStream,
        text: &str,
        forwarded: bool,
    ) -> Response {
        // The text may be a damaged ticket under which a booking has run, so
        // the caller is not told `not_run`.
        let ticket = match self.verify(text) {
            Ok(ticket) => ticket,
            Err(refusal) => return unknown(&refusal).to_response(),
        };
        let call = match self.read_call(request, ticket, forwarded).await {
            Ok(call) => call,
            Err(refusal) => return unknown(&refusal).to_response(),
        };
        let gone = async {
            stream.closed_by_peer().await;
            // Nobody reads this any more.
            Response::new(StatusCode::BadGateway)
        };
        self.settle(&call).or(gone).await
    }

    fn verify(&self, text: &str) -> Result<CallTicket, RequestRefusal> {
        self.node.tickets.verify(text).map_err(|error| {
            let message = format!("No such ticket: {error}.");
            RequestRefusal::not_run(ErrorCode::NotFound, message)
        })
    }

    async fn read_call(
        &self,
        request: Request,
        ticket: CallTicket,
        forwarded: bool,
    ) -> Result<TicketCall, RequestRefusal> {
        let intake = IncomingRequest::receive(&self.node, &request)?;
        let authorization = self.check_workspace(&request, &ticket)?;
        if let Some(reason) = self.node.unready_reason()
            && !self.node.is_stopping()
        {
            let refusal = RequestRefusal::not_run(ErrorCode::NotReady, reason);
            return Err(refusal.with_retry_after(SHORT_RETRY));
        }
        let span = self.requested_span(&request, &ticket);
        let limits = &self.node.settings.limits;
        let (limit, timeout) = (limits.body, limits.body_timeout);
        let body = read_request_body(request, limit, timeout).await?;
        let (id, arrived, hop) = intake.into_parts();
        hop.set("ticket", ticket.key());
        Ok(TicketCall {
            id,
            digest: BodyDigest::of(&body),
            ticket,
            body,
            authorization,
            arrived,
            deadline: arrived + span,
            span: hop,
            forwarded,
        })
    }

    /// Checks that the workspace of the ticket makes the call.
    fn check_workspace(
        &self,
        request: &Request,
        ticket: &CallTicket,
    ) -> Result<String, RequestRefusal> {
        let snapshot = self.node.config.snapshot();
        let admitted = CallerCredentials::from_request(request).is_some_and(|credentials| {
            let workspace = snapshot.workspace(&credentials.workspace);
            let secret = credentials.secret.as_bytes();
            credentials.workspace == *ticket.workspace()
                && workspace.is_some_and(|workspace| workspace.verify(secret))
        });
        let header = request.header(headers::AUTHORIZATION);
        match header {
            Some(values) if admitted => Ok(values.last().as_str().to_owned()),
            _ => {
                let message = "The credentials are missing, wrong or another workspace's.";
                Err(RequestRefusal::not_run(ErrorCode::Unauthorized, message))
            }
        }
    }

    /// The span that the caller allows, at most that of the pipeline.
    fn requested_span(&self, request: &Request, ticket: &CallTicket) -> TimeSpan {
        let snapshot = self.node.config.snapshot();
        let pipeline = snapshot.pipeline(ticket.pipeline());
        let span = pipeline.map_or(DEFAULT_WAIT, |pipeline| pipeline.deadline);
        let header = request.header(headers::DEADLINE_MS);
        let wanted = header.and_then(|values| values.last().as_str().trim().parse().ok());
        wanted.map_or(span, |millis| span.min(TimeSpan::from_millis(millis)))
    }

    /// Brings a call to its answer, here or at the node that holds the ticket.
    async fn settle(&self, call: &TicketCall) -> Response {
        loop {
            let now = self.node.now();
            let news = match self.node.tickets.claim(&call.ticket, call.digest, now) {
                TicketAction::Run(claim) => {
                    self.count("run");
                    start_run(&self.node, claim, call)
                }
                TicketAction::Wait(news) => {
                    self.count("joined");
                    news
                }
                TicketAction::Repeat(answer) => {
                    self.count("repeated");
                    return response_of(&answer, &call.id);
                }
                TicketAction::Moved(holder) => return self.pass_on(call, Some(holder)).await,
                TicketAction::Refuse(TicketRefusal::NotOwner) => {
                    return self.pass_on(call, None).await;
                }
                TicketAction::Refuse(refusal) => {
                    self.count("refused");
                    return refuse_ticket(call, refusal).to_response();
                }
            };
            let late = async {
                Timer::after(now.until(call.deadline).into()).await;
                None
            };
            let next = async { news.recv().await.ok() };
            match next.or(late).await {
                Some(TicketUpdate::Answer(answer)) => return response_of(&answer, &call.id),
                Some(TicketUpdate::ClaimAgain) => {}
                None => return still_running(call).to_response(),
            }
        }
    }

    async fn pass_on(&self, call: &TicketCall, moved_to: Option<TicketHolder>) -> Response {
        if call.forwarded {
            let mut response = Response::new(StatusCode::MisdirectedRequest);
            if let Some(holder) = moved_to {
                response.insert_header(MOVED_TO, holder.address.to_string());
            }
            return response;
        }
        self.count("forwarded");
        match self.forwarder.forward(call, moved_to).await {
            Ok(response) => response,
            Err(failure) => {
                self.count("lost");
                let message = "The node that holds the ticket cannot be reached.";
                RequestRefusal::new(failure.outcome(), failure.code(), message)
                    .with_request(call.id.clone())
                    .to_response()
            }
        }
    }

    fn count(&self, event: &str) {
        let metric = &self.node.metrics.tickets;
        metric.with_label_values(&[event]).inc();
    }
}

fn read_key(request: &Request) -> Result<Option<IdempotencyKey>, RequestRefusal> {
    let Some(values) = request.header(headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = values.last().as_str().parse().map_err(|error| {
        RequestRefusal::not_run(ErrorCode::BadRequest, format!("Bad header: {error}."))
    })?;
    Ok(Some(key))
}

fn refuse_issue(refusal: IssueRefusal) -> RequestRefusal {
    let message = format!("No ticket was issued: {refusal}.");
    match refusal {
        IssueRefusal::Full { retry_after } => {
            RequestRefusal::not_run(ErrorCode::Overloaded, message).with_retry_after(retry_after)
        }
        IssueRefusal::Sealed => {
            RequestRefusal::not_run(ErrorCode::NotReady, message).with_retry_after(SHORT_RETRY)
        }
        IssueRefusal::KeyReused => RequestRefusal::not_run(ErrorCode::BadRequest, message),
    }
}

fn refuse_ticket(call: &TicketCall, refusal: TicketRefusal) -> RequestRefusal {
    let message = format!("The ticket does not run: {refusal}.");
    RequestRefusal::new(refusal.outcome(), refusal.code(), message).with_request(call.id.clone())
}

/// A refusal of a call with a ticket, which says nothing of earlier calls.
fn unknown(refusal: &RequestRefusal) -> RequestRefusal {
    let body = ErrorBody {
        outcome: AnswerOutcome::OutcomeUnknown,
        ..refusal.body().clone()
    };
    body.into()
}
