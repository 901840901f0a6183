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
    answer_encoding::response_from_answer,
    ticket_forwarder::MOVED_TO,
    ticket_run::{start_run, still_running},
};
use crate::{
    connection::MeteredStream,
    process::NodeState,
    request::{CallerCredentials, IncomingRequest, RequestRefusal, read_request_body},
};

/// Deadline of a call whose pipeline this node does not know.
const DEFAULT_DEADLINE: TimeSpan = TimeSpan::from_secs(10);
/// Retry delay for callers of a node that is starting or shutting down.
const SHORT_RETRY: TimeSpan = TimeSpan::from_secs(1);

/// Issues tickets and answers calls with tickets.
///
/// Only the ledger may answer `not_run` to a call with a valid ticket. For all
/// other errors the outcome is unknown, because an earlier call with the same
/// ticket may have run.
#[derive(Clone, Debug)]
pub struct TicketHandler {
    node: Arc<NodeState>,
    forwarder: TicketForwarder,
}

impl TicketHandler {
    /// Creates the handler of a node.
    #[must_use]
    pub fn new(node: Arc<NodeState>) -> Self {
        let forwarder = TicketForwarder::new(Arc::clone(&node));
        Self { node, forwarder }
    }

    /// Issues a ticket for a request with a non-idempotent stage and redirects the
    /// caller to it.
    ///
    /// # Errors
    ///
    /// Fails with the answer for the caller if no ticket was issued. Nothing was
    /// run.
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

    /// Answers a call with the ticket `text`. `forwarded` tells that another node
    /// forwarded the call; it is then not forwarded again.
    pub async fn answer(
        &self,
        request: Request,
        stream: &MeteredStream,
        text: &str,
        forwarded: bool,
    ) -> Response {
        // The text may be a damaged form of a ticket that has run, so the answer
        // is not `not_run`.
        let ticket = match self.verify(text) {
            Ok(ticket) => ticket,
            Err(refusal) => return with_unknown_outcome(&refusal).to_response(),
        };
        let call = match self.read_call(request, ticket, forwarded).await {
            Ok(call) => call,
            Err(refusal) => return with_unknown_outcome(&refusal).to_response(),
        };
        let disconnected = async {
            stream.closed_by_peer().await;
            // Not sent to anyone: the caller has closed the connection.
            Response::new(StatusCode::BadGateway)
        };
        self.resolve(&call).or(disconnected).await
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
        let timeout = self.requested_timeout(&request, &ticket);
        let limits = &self.node.settings.limits;
        let (body_limit, body_timeout) = (limits.body, limits.body_timeout);
        let body = read_request_body(request, body_limit, body_timeout).await?;
        let (id, arrived, hop) = intake.into_parts();
        hop.set("ticket", ticket.key());
        Ok(TicketCall {
            id,
            digest: BodyDigest::of(&body),
            ticket,
            body,
            authorization,
            arrived,
            deadline: arrived + timeout,
            span: hop,
            forwarded,
        })
    }

    /// Checks that the caller is the workspace of the ticket. Returns the
    /// `Authorization` header.
    fn check_workspace(
        &self,
        request: &Request,
        ticket: &CallTicket,
    ) -> Result<String, RequestRefusal> {
        let snapshot = self.node.config.snapshot();
        let authenticated = CallerCredentials::from_request(request).is_some_and(|credentials| {
            let workspace = snapshot.workspace(&credentials.workspace);
            let secret = credentials.secret.as_bytes();
            credentials.workspace == *ticket.workspace()
                && workspace.is_some_and(|workspace| workspace.verify(secret))
        });
        let header = request.header(headers::AUTHORIZATION);
        match header {
            Some(values) if authenticated => Ok(values.last().as_str().to_owned()),
            _ => {
                let message = "The credentials are missing, wrong or another workspace's.";
                Err(RequestRefusal::not_run(ErrorCode::Unauthorized, message))
            }
        }
    }

    /// The time that the caller allows for the answer, at most the deadline of the
    /// pipeline.
    fn requested_timeout(&self, request: &Request, ticket: &CallTicket) -> TimeSpan {
        let snapshot = self.node.config.snapshot();
        let pipeline = snapshot.pipeline(ticket.pipeline());
        let deadline = pipeline.map_or(DEFAULT_DEADLINE, |pipeline| pipeline.deadline);
        let header = request.header(headers::DEADLINE_MS);
        let requested = header.and_then(|values| values.last().as_str().trim().parse().ok());
        requested.map_or(deadline, |millis| {
            deadline.min(TimeSpan::from_millis(millis))
        })
    }

    /// Obtains the answer to a call, from this node or from the node that holds the
    /// ticket.
    async fn resolve(&self, call: &TicketCall) -> Response {
        loop {
            let now = self.node.now();
            let updates = match self.node.tickets.claim(&call.ticket, call.digest, now) {
                TicketAction::Run(claim) => {
                    self.count("run");
                    start_run(&self.node, claim, call)
                }
                TicketAction::Wait(updates) => {
                    self.count("joined");
                    updates
                }
                TicketAction::Repeat(answer) => {
                    self.count("repeated");
                    return response_from_answer(&answer, &call.id);
                }
                TicketAction::Moved(holder) => return self.forward(call, Some(holder)).await,
                TicketAction::Refuse(TicketRefusal::NotOwner) => {
                    return self.forward(call, None).await;
                }
                TicketAction::Refuse(refusal) => {
                    self.count("refused");
                    return refuse_ticket(call, refusal).to_response();
                }
            };
            let timed_out = async {
                Timer::after(now.until(call.deadline).into()).await;
                None
            };
            let update = async { updates.recv().await.ok() };
            match update.or(timed_out).await {
                Some(TicketUpdate::Answer(answer)) => {
                    return response_from_answer(&answer, &call.id);
                }
                Some(TicketUpdate::ClaimAgain) => {}
                None => return still_running(call).to_response(),
            }
        }
    }

    async fn forward(&self, call: &TicketCall, moved_to: Option<TicketHolder>) -> Response {
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

/// Changes the outcome of a refusal to unknown, because earlier calls with the
/// same ticket may have run.
fn with_unknown_outcome(refusal: &RequestRefusal) -> RequestRefusal {
    let body = ErrorBody {
        outcome: AnswerOutcome::OutcomeUnknown,
        ..refusal.body().clone()
    };
    body.into()
}
