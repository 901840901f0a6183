use bytes::{Bytes, BytesMut};
use http_types::{Method, Request, Url, url::ParseError};
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::AttemptNumber,
    protocol::{headers, paths},
    records::{StageKind, StageSpec},
    request::AttemptPlan,
};

use super::CallerRequest;

/// Highest priority of a call.
const MAX_PRIORITY: u64 = 9;
/// Remaining time that lowers the priority of a call by one.
const TIME_PER_PRIORITY: TimeSpan = TimeSpan::from_millis(400);

/// Content of the call that one attempt sends to a target.
#[derive(Clone, Debug)]
pub(super) struct StageCall {
    /// Number of the attempt.
    pub(super) attempt: AttemptNumber,
    /// Input of the stage.
    pub(super) input: Bytes,
    /// Text received from an earlier stream that was interrupted.
    pub(super) received: Bytes,
    /// Number of tokens in the received text.
    pub(super) resume_offset: u64,
    /// Idempotency key. Set for non-idempotent calls only.
    pub(super) idempotency_key: Option<String>,
    /// Trace context of the attempt.
    pub(super) traceparent: Option<String>,
}

impl StageCall {
    pub(super) fn new(plan: AttemptPlan, input: Bytes, received: &[u8]) -> Self {
        Self {
            attempt: plan.attempt,
            input,
            received: Bytes::copy_from_slice(received),
            resume_offset: plan.resume_offset,
            idempotency_key: None,
            traceparent: None,
        }
    }

    /// Builds the HTTP request for a target. Does not fail in practice, because
    /// every address yields a valid URL.
    pub(super) fn to_http(
        &self,
        address: std::net::SocketAddr,
        request: &CallerRequest,
        stage: &StageSpec,
        now: ClockTime,
    ) -> Result<Request, ParseError> {
        let path = paths::RUN;
        let url = Url::parse(&format!("http://{address}{path}"))?;
        let mut call = Request::new(Method::Post, url);
        let remaining = now.until(request.deadline);
        call.insert_header("content-type", "application/octet-stream");
        call.insert_header(headers::REQUEST_ID, request.id.as_str());
        call.insert_header(headers::STAGE, stage.name.as_str());
        call.insert_header(headers::ATTEMPT, self.attempt.to_string());
        call.insert_header(headers::WORKSPACE, request.workspace.id.as_str());
        call.insert_header(headers::DEADLINE_MS, remaining.as_millis().to_string());
        call.insert_header(headers::PRIORITY, priority(remaining).to_string());
        if let Some(key) = &self.idempotency_key {
            call.insert_header(headers::IDEMPOTENCY_KEY, key.as_str());
        }
        if let Some(parent) = &self.traceparent {
            call.insert_header(headers::TRACEPARENT, parent.as_str());
        }
        self.set_body(&mut call, &stage.kind);
        Ok(call)
    }

    fn set_body(&self, call: &mut Request, kind: &StageKind) {
        if let StageKind::Generate {
            model,
            adapter,
            max_tokens,
        } = kind
        {
            call.insert_header(headers::MODEL, model.as_str());
            call.insert_header(headers::MAX_TOKENS, max_tokens.get().to_string());
            if let Some(adapter) = adapter {
                call.insert_header(headers::ADAPTER, adapter.as_str());
            }
        }
        if self.resume_offset == 0 {
            call.set_body(self.input.as_ref());
            return;
        }
        call.insert_header(headers::RESUME_OFFSET, self.resume_offset.to_string());
        call.insert_header(headers::PROMPT_BYTES, self.input.len().to_string());
        let mut body = BytesMut::with_capacity(self.input.len() + self.received.len());
        body.extend_from_slice(&self.input);
        body.extend_from_slice(&self.received);
        call.set_body(body.as_ref());
    }
}

/// Priority of a call. It increases as the remaining time decreases.
fn priority(remaining: TimeSpan) -> u64 {
    let steps = remaining.as_millis() / TIME_PER_PRIORITY.as_millis();
    MAX_PRIORITY.saturating_sub(steps)
}
