use std::fmt;

use bytes::BytesMut;
use verbenahub_core::{clock::TimeSpan, routes::NotRunProof};

use crate::http::{HeaderList, ResponseHead};

/// Minimum `Retry-After` of a refusal. A caller that retries at once meets the
/// same queue again.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(100);
/// Maximum `Retry-After` of a refusal. Callers give up soon after that time.
pub(super) const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(3_000);

/// A response that the gateway generates itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayResponse {
    status: u16,
    reason: &'static str,
    code: &'static str,
    retry_after: Option<TimeSpan>,
    closes: bool,
}

impl GatewayResponse {
    /// The request was not run and the caller may retry it.
    #[must_use]
    // The proof is consumed: nothing may be sent to a target after the caller
    // was told that the request was not run.
    #[allow(clippy::needless_pass_by_value)]
    pub fn not_run(_proof: NotRunProof, code: &'static str, retry_after: TimeSpan) -> Self {
        let retry_after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Self {
            retry_after: Some(retry_after),
            ..Self::new(503, "Service Unavailable", code)
        }
    }

    /// The request was not run because the limits of all targets are used up. The
    /// time is known rather than estimated, so it may be long.
    #[must_use]
    // The proof is consumed, as in `not_run`.
    #[allow(clippy::needless_pass_by_value)]
    pub fn over_limit(_proof: NotRunProof, retry_after: TimeSpan) -> Self {
        Self {
            retry_after: Some(retry_after.max(MIN_RETRY_AFTER)),
            ..Self::new(503, "Service Unavailable", "over_limit")
        }
    }

    /// The request was not run because a part of its prompt crashes engines. It won't
    /// be run before the quarantine of that part ends.
    #[must_use]
    // The proof is consumed, as in `not_run`.
    #[allow(clippy::needless_pass_by_value)]
    pub fn quarantined(_proof: NotRunProof, retry_after: TimeSpan) -> Self {
        Self {
            retry_after: Some(retry_after.max(MIN_RETRY_AFTER)),
            ..Self::new(503, "Service Unavailable", "quarantined")
        }
    }

    /// The request was not run because this node is about to exit. The other nodes
    /// accept it at once.
    #[must_use]
    pub fn stopping(proof: NotRunProof) -> Self {
        Self::not_run(proof, "stopping", TimeSpan::ZERO)
    }

    /// The request may have run; the target's response was lost.
    #[must_use]
    pub const fn outcome_unknown() -> Self {
        Self::new(502, "Bad Gateway", "outcome_unknown")
    }

    /// The request's deadline has passed; it may have run.
    #[must_use]
    pub const fn timed_out() -> Self {
        Self::new(504, "Gateway Timeout", "timeout")
    }

    /// The caller's API key is unknown.
    #[must_use]
    pub const fn unknown_key() -> Self {
        Self::new(401, "Unauthorized", "unknown_key")
    }

    /// No route matches the request.
    #[must_use]
    pub const fn no_route() -> Self {
        Self::new(404, "Not Found", "no_route")
    }

    /// The request lacks something that its route requires.
    #[must_use]
    pub const fn bad_request(code: &'static str) -> Self {
        Self::new(400, "Bad Request", code)
    }

    /// The bytes are not a valid request, or its end is ambiguous.
    #[must_use]
    pub const fn malformed() -> Self {
        Self {
            closes: true,
            ..Self::new(400, "Bad Request", "malformed")
        }
    }

    /// The request head exceeds the limit.
    #[must_use]
    pub const fn head_too_large() -> Self {
        Self {
            closes: true,
            ..Self::new(431, "Request Header Fields Too Large", "head_too_large")
        }
    }

    /// The request body exceeds the limit.
    #[must_use]
    pub const fn body_too_large() -> Self {
        Self {
            closes: true,
            ..Self::new(413, "Content Too Large", "body_too_large")
        }
    }

    /// The request did not arrive in time.
    #[must_use]
    pub const fn slow_request() -> Self {
        Self {
            closes: true,
            ..Self::new(408, "Request Timeout", "slow_request")
        }
    }

    /// HTTP status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        self.status
    }

    /// Error code of the body: why the gateway responds itself.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        self.code
    }

    /// Time after which the caller should retry.
    #[must_use]
    pub const fn retry_after(&self) -> Option<TimeSpan> {
        self.retry_after
    }

    /// Whether the connection must be closed after this response.
    #[must_use]
    pub const fn closes(&self) -> bool {
        self.closes
    }

    /// Encodes the response. `closes` announces that the connection is closed
    /// after it.
    #[must_use]
    pub fn encode(&self, closes: bool) -> BytesMut {
        let body = format!("{{\"code\":\"{}\"}}\n", self.code);
        let mut headers = HeaderList::default();
        headers.push("Content-Type", "application/json");
        headers.push("Content-Length", body.len().to_string());
        if let Some(span) = self.retry_after {
            headers.push("Retry-After", format!("{:.3}", span.as_secs_f64()));
        }
        if closes || self.closes {
            headers.push("Connection", "close");
        }
        let mut message = ResponseHead::encode(self.status, self.reason.as_bytes(), &headers);
        message.extend_from_slice(body.as_bytes());
        message
    }

    const fn new(status: u16, reason: &'static str, code: &'static str) -> Self {
        Self {
            status,
            reason,
            code,
            retry_after: None,
            closes: false,
        }
    }
}

impl fmt::Display for GatewayResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.status, self.code)
    }
}
