use std::sync::Arc;

use async_channel::Receiver;
use futures_lite::FutureExt;
use http_types::{Body, Method, Request, Response, StatusCode};
use verbenahub_core::{
    clock::TimeSpan,
    ids::RequestId,
    protocol::{AnswerOutcome, ErrorCode, headers, paths},
    request::FinalOutcome,
};

use super::{
    AdmissionGuard, AnswerHead, AnswerReader, AnswerSink, CallerRequest, IncomingRequest,
    PipelineRun, RequestRefusal, answer_channel, read_request_body,
};
use crate::{connection::MeteredStream, process::NodeState, status, tickets::TicketHandler};

/// Media type of a streamed answer.
pub(crate) const STREAM_TYPE: &str = "application/x-ndjson";
/// Media type of an answer that is sent as a single body.
pub(crate) const BYTES_TYPE: &str = "application/octet-stream";
/// Retry delay sent while the node is not ready.
const NOT_READY_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// Handles the requests of callers and operators.
#[derive(Clone, Debug)]
pub struct RequestHandler {
    node: Arc<NodeState>,
    tickets: TicketHandler,
}

impl RequestHandler {
    /// Creates the handler of a node.
    #[must_use]
    pub fn new(node: Arc<NodeState>) -> Self {
        let tickets = TicketHandler::new(Arc::clone(&node));
        Self { node, tickets }
    }

    /// Answers one request to the public interface.
    pub async fn answer(self, request: Request, stream: MeteredStream) -> Response {
        let path = request.url().path().to_owned();
        let answer = match (request.method(), path.as_str()) {
            (Method::Get, paths::HEALTH) => Ok(Response::new(StatusCode::Ok)),
            (Method::Get, paths::READY) => Ok(status::ready(&self.node)),
            (Method::Get, paths::STATUS) => Ok(status::report(&self.node)),
            (Method::Get, paths::METRICS) => Ok(status::metrics(&self.node)),
            (Method::Post, path) => self.answer_post(request, &stream, path).await,
            (_, path) if path.starts_with(paths::PIPELINES) => Err(method_not_allowed()),
            (_, path) if path.starts_with(paths::TICKETS) => Err(method_not_allowed()),
            _ => Err(not_found()),
        };
        answer.unwrap_or_else(|refusal| self.refuse(&refusal))
    }

    async fn answer_post(
        &self,
        request: Request,
        stream: &MeteredStream,
        path: &str,
    ) -> Result<Response, RequestRefusal> {
        if let Some(pipeline) = path.strip_prefix(paths::PIPELINES) {
            return self.run(request, stream, pipeline).await;
        }
        match path.strip_prefix(paths::TICKETS) {
            Some(ticket) => Ok(self.tickets.answer(request, stream, ticket, false).await),
            None => Err(not_found()),
        }
    }

    fn refuse(&self, refusal: &RequestRefusal) -> Response {
        let code = refusal.body().code;
        let metric = &self.node.metrics.rejected;
        metric.with_label_values(&[code_label(code)]).inc();
        slog::debug!(self.node.log, "request: Refused."; "code" => code_label(code));
        refusal.to_response()
    }

    async fn run(
        &self,
        request: Request,
        stream: &MeteredStream,
        pipeline: &str,
    ) -> Result<Response, RequestRefusal> {
        let incoming = IncomingRequest::receive(&self.node, &request)?;
        let id = incoming.id().clone();
        let add_request_id = |refusal: RequestRefusal| refusal.with_request(id.clone());
        self.check_ready().map_err(add_request_id)?;
        let (workspace, record) = incoming
            .authorize(&request, pipeline)
            .map_err(add_request_id)?;
        incoming
            .apply_rate_limit(&workspace)
            .map_err(add_request_id)?;
        if !record.is_idempotent() {
            let redirect = self.tickets.redirect(&request, &workspace, &record);
            let response = redirect.map_err(add_request_id)?;
            // The next request on this connection is the call with the ticket,
            // so the body of this request must be read completely.
            let limits = &self.node.settings.limits;
            let body = read_request_body(request, limits.body, limits.body_timeout);
            return body.await.map(|_| response).map_err(add_request_id);
        }
        let complete = incoming.read(request, workspace, record);
        let request = complete.await.map_err(add_request_id)?;
        let admission_guard =
            AdmissionGuard::admit(&self.node, &request).map_err(add_request_id)?;
        Ok(self.stream_answer(request, admission_guard, stream).await)
    }

    fn check_ready(&self) -> Result<(), RequestRefusal> {
        match self.node.unready_reason() {
            Some(reason) if !self.node.is_stopping() => {
                let refusal = RequestRefusal::not_run(ErrorCode::NotReady, reason);
                Err(refusal.with_retry_after(NOT_READY_RETRY_AFTER))
            }
            _ => Ok(()),
        }
    }

    /// Runs the request as a task and returns the response as soon as the answer
    /// begins.
    async fn stream_answer(
        &self,
        request: CallerRequest,
        admission_guard: AdmissionGuard,
        stream: &MeteredStream,
    ) -> Response {
        let id = request.id.clone();
        let streams = request.pipeline.streams();
        let (head_sender, head) = async_channel::bounded(1);
        let (lines, reader) = answer_channel();
        let sink = AnswerSink::new(head_sender, streams.then_some(lines));
        let reader_dropped = reader.drop_signal();
        let work = run_request(Arc::clone(&self.node), request, admission_guard, sink);
        self.node.requests.spawn(work.or(async move {
            reader_dropped.recv().await.ok();
        }));
        let disconnected = async {
            stream.closed_by_peer().await;
            None
        };
        match receive_head(&head).or(disconnected).await {
            Some(head) => build_response(head, reader, &id),
            // The caller closed the connection, so no one reads this response.
            None => Response::new(StatusCode::BadGateway),
        }
    }
}

async fn receive_head(head: &Receiver<AnswerHead>) -> Option<AnswerHead> {
    head.recv().await.ok()
}

/// Runs a request to completion and records its outcome.
async fn run_request(
    node: Arc<NodeState>,
    request: CallerRequest,
    admission_guard: AdmissionGuard,
    mut sink: AnswerSink,
) {
    node.metrics.in_flight.inc();
    let _in_flight = InFlightMetric(&node);
    let end = PipelineRun::new(&node, &request, &admission_guard, None)
        .run(&mut sink)
        .await;
    count_request(&node, &request, &end.outcome, sink.first_token());
    let output = end.output;
    sink.finish(&end.outcome, output.body, output.tokens).await;
    request.span.set("outcome", end.outcome.outcome());
    request.span.end();
}

struct InFlightMetric<'node>(&'node NodeState);

impl Drop for InFlightMetric<'_> {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

/// Records the outcome and the duration of a request in metrics and the log.
pub(crate) fn count_request(
    node: &NodeState,
    request: &CallerRequest,
    outcome: &FinalOutcome,
    first_token: Option<verbenahub_core::clock::ClockTime>,
) {
    let now = node.now();
    let pipeline = request.pipeline.name.as_str();
    let metrics = &node.metrics;
    let error = outcome.error_body();
    let code = error
        .as_ref()
        .map_or("none", |error| code_label(error.code));
    let result = outcome.outcome().to_string();
    metrics
        .requests
        .with_label_values(&[pipeline, result.as_str(), code])
        .inc();
    if let Some(first) = first_token {
        let span = first.since(request.received_at).as_secs_f64();
        metrics
            .first_token_seconds
            .with_label_values(&[pipeline])
            .observe(span);
    }
    if outcome.outcome() == AnswerOutcome::Done {
        let in_time = if now <= request.deadline {
            "true"
        } else {
            "false"
        };
        metrics
            .attainment
            .with_label_values(&[pipeline, in_time])
            .inc();
        let span = now.since(request.received_at).as_secs_f64();
        metrics
            .request_seconds
            .with_label_values(&[pipeline])
            .observe(span);
    }
    slog::debug!(node.log, "request: Ended.";
        "request" => %request.id, "outcome" => result, "code" => code);
}

/// Builds the HTTP response for the first part of an answer.
fn build_response(head: AnswerHead, reader: AnswerReader, id: &RequestId) -> Response {
    let mut response = match head {
        AnswerHead::Error(refusal) => return refusal.to_response(),
        AnswerHead::Stream => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(Body::from_reader(reader, None));
            response.insert_header("content-type", STREAM_TYPE);
            response
        }
        AnswerHead::Unary(body) => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body.as_ref());
            response.insert_header("content-type", BYTES_TYPE);
            response
        }
    };
    response.insert_header(headers::REQUEST_ID, id.as_str());
    response
}

fn not_found() -> RequestRefusal {
    RequestRefusal::not_run(ErrorCode::NotFound, "No such path.")
}

fn method_not_allowed() -> RequestRefusal {
    RequestRefusal::not_run(ErrorCode::MethodNotAllowed, "Send the request with POST.")
}

/// Name of an error code in metrics and logs.
pub(crate) const fn code_label(code: ErrorCode) -> &'static str {
    match code {
        ErrorCode::BadRequest => "bad_request",
        ErrorCode::Unauthorized => "unauthorized",
        ErrorCode::NotFound => "not_found",
        ErrorCode::MethodNotAllowed => "method_not_allowed",
        ErrorCode::TooLarge => "too_large",
        ErrorCode::RequestTimeout => "request_timeout",
        ErrorCode::RateLimited => "rate_limited",
        ErrorCode::Overloaded => "overloaded",
        ErrorCode::DeadlineUnreachable => "deadline_unreachable",
        ErrorCode::DeadlineExceeded => "deadline_exceeded",
        ErrorCode::NoTarget => "no_target",
        ErrorCode::StageFailed => "stage_failed",
        ErrorCode::NotReady => "not_ready",
        ErrorCode::TicketLost => "ticket_lost",
        ErrorCode::ConnectionLost => "connection_lost",
        ErrorCode::TicketReused => "ticket_reused",
    }
}
