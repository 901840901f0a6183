use std::sync::Arc;

use bytes::Bytes;
use http_types::Request;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{PipelineName, RequestId},
    policy::limits::LimitDecision,
    protocol::{ErrorCode, headers},
    records::{PipelineRecord, WorkspaceRecord},
    units::ByteSize,
};

use super::{CallerCredentials, CallerRequest, RequestRefusal};
use crate::{
    connection::{BodyError, read_body},
    process::{NodeState, trace::HopSpan},
};

/// Retry delay sent after a timeout while the body was read.
const BODY_TIMEOUT_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// A request that has arrived and is being checked and read.
#[derive(Debug)]
pub struct IncomingRequest {
    node: Arc<NodeState>,
    id: RequestId,
    received_at: ClockTime,
    span: HopSpan,
}

impl IncomingRequest {
    /// Assigns an id to a request that has just arrived.
    ///
    /// # Errors
    ///
    /// Returns the error response for the caller if no id can be generated.
    pub fn receive(node: &Arc<NodeState>, request: &Request) -> Result<Self, RequestRefusal> {
        let received_at = node.now();
        let id = node.ids.next_id().map_err(|error| {
            RequestRefusal::not_run(ErrorCode::NotReady, format!("No request id: {error}."))
        })?;
        let parent = request
            .header(headers::TRACEPARENT)
            .map(|values| values.last().as_str());
        let span = node.trace.server_span("request", parent);
        span.set("request", &id);
        Ok(Self {
            node: Arc::clone(node),
            id,
            received_at,
            span,
        })
    }

    /// Id assigned to the request.
    #[must_use]
    pub const fn id(&self) -> &RequestId {
        &self.id
    }

    /// Returns the id, the time of arrival and the trace span of the request.
    #[must_use]
    pub fn into_parts(self) -> (RequestId, ClockTime, HopSpan) {
        (self.id, self.received_at, self.span)
    }

    /// Verifies the credentials and looks up the pipeline.
    ///
    /// # Errors
    ///
    /// Returns the error response for the caller if the credentials are invalid
    /// or the pipeline does not exist.
    pub fn authorize(
        &self,
        request: &Request,
        pipeline: &str,
    ) -> Result<(Arc<WorkspaceRecord>, Arc<PipelineRecord>), RequestRefusal> {
        let snapshot = self.node.config.snapshot();
        let workspace = CallerCredentials::from_request(request)
            .and_then(|credentials| {
                let workspace = snapshot.workspace(&credentials.workspace)?;
                let secret = credentials.secret.as_bytes();
                workspace.verify(secret).then(|| Arc::clone(workspace))
            })
            .ok_or_else(|| {
                let message = "The credentials are missing or wrong.";
                RequestRefusal::not_run(ErrorCode::Unauthorized, message)
            })?;
        let record = pipeline
            .parse::<PipelineName>()
            .ok()
            .and_then(|name| snapshot.pipeline(&name).cloned())
            .ok_or_else(|| {
                let message = "No such pipeline.";
                RequestRefusal::not_run(ErrorCode::NotFound, message)
            })?;
        self.span.set("workspace", &workspace.id);
        self.span.set("pipeline", &record.name);
        Ok((workspace, record))
    }

    /// Counts the request against the rate limit of its workspace.
    ///
    /// # Errors
    ///
    /// Returns the error response for the caller if the limit is exceeded.
    pub fn apply_rate_limit(&self, workspace: &WorkspaceRecord) -> Result<(), RequestRefusal> {
        match self.node.limits.take(workspace, self.received_at) {
            LimitDecision::Allowed => Ok(()),
            LimitDecision::Refused { retry_after } => {
                let message = "The workspace is over its rate limit.";
                let refusal = RequestRefusal::not_run(ErrorCode::RateLimited, message);
                Err(refusal.with_retry_after(retry_after))
            }
        }
    }

    /// Reads the deadline and the body of the request.
    ///
    /// # Errors
    ///
    /// Returns the error response for the caller if the deadline is malformed, or
    /// if the body is too large, incomplete or not received in time.
    pub async fn read(
        self,
        request: Request,
        workspace: Arc<WorkspaceRecord>,
        pipeline: Arc<PipelineRecord>,
    ) -> Result<CallerRequest, RequestRefusal> {
        let deadline = self.received_at + requested_duration(&request, &pipeline)?;
        let limit = pipeline.body_limit.min(self.node.settings.limits.body);
        let timeout = self.node.settings.limits.body_timeout;
        let body = read_request_body(request, limit, timeout).await?;
        Ok(CallerRequest {
            id: self.id,
            workspace,
            pipeline,
            body,
            received_at: self.received_at,
            deadline,
            span: self.span,
        })
    }
}

/// Reads the body of a request, up to `limit` bytes.
///
/// # Errors
///
/// Returns the error response for the caller if the body is too large,
/// incomplete or not received within `timeout`.
pub async fn read_request_body(
    request: Request,
    limit: ByteSize,
    timeout: TimeSpan,
) -> Result<Bytes, RequestRefusal> {
    let length = request.len();
    let body = read_body(request, length, limit, timeout).await;
    body.map_err(|error| body_refusal(&error))
}

fn body_refusal(error: &BodyError) -> RequestRefusal {
    let code = match error {
        BodyError::TooLarge(_) => ErrorCode::TooLarge,
        BodyError::Timeout => ErrorCode::RequestTimeout,
        BodyError::Truncated { .. } | BodyError::Io(_) => ErrorCode::BadRequest,
    };
    let refusal = RequestRefusal::not_run(code, format!("The body cannot be read: {error}."));
    match error {
        BodyError::Timeout => refusal.with_retry_after(BODY_TIMEOUT_RETRY_AFTER),
        _ => refusal,
    }
}

/// Returns the time that the caller allows for the request, limited to the
/// deadline of the pipeline.
fn requested_duration(
    request: &Request,
    pipeline: &PipelineRecord,
) -> Result<TimeSpan, RequestRefusal> {
    let Some(values) = request.header(headers::DEADLINE_MS) else {
        return Ok(pipeline.deadline);
    };
    let millis: u64 = values.last().as_str().trim().parse().map_err(|_| {
        let message = "The header verbenahub-deadline-ms is not a whole number.";
        RequestRefusal::not_run(ErrorCode::BadRequest, message)
    })?;
    Ok(pipeline.deadline.min(TimeSpan::from_millis(millis)))
}
