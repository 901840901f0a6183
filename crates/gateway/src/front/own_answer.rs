use std::fmt;

use bytes::BytesMut;
use verbenahub_core::{clock::TimeSpan, routes::NotRunProof};

use crate::http::{HeaderList, ResponseHead};

/// Shortest time after which a refused caller is asked to come back. A refused
/// caller that returns at once finds the same queue.
const LEAST_RETRY: TimeSpan = TimeSpan::from_millis(100);
/// Longest time after which it is. Callers give up soon after.
const MOST_RETRY: TimeSpan = TimeSpan::from_millis(3_000);

/// An answer that the gateway makes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnAnswer {
    status: u16,
    reason: &'static str,
    code: &'static str,
    retry_after: Option<TimeSpan>,
    closes: bool,
}

impl OwnAnswer {
    /// The request was not run and the caller may come back.
    #[must_use]
    // The proof is used up: nothing may be sent after the promise.
    #[allow(clippy::needless_pass_by_value)]
    pub fn not_run(_proof: NotRunProof, code: &'static str, retry_after: TimeSpan) -> Self {
        let retry_after = retry_after.clamp(LEAST_RETRY, MOST_RETRY);
        Self {
            retry_after: Some(retry_after),
            ..Self::new(503, "Service Unavailable", code)
        }
    }

    /// The request may have run; its target's answer is lost.
    #[must_use]
    pub const fn outcome_unknown() -> Self {
        Self::new(502, "Bad Gateway", "outcome_unknown")
    }

    /// The request's time is over; it may have run.
    #[must_use]
    pub const fn timed_out() -> Self {
        Self::new(504, "Gateway Timeout", "timeout")
    }

    /// The caller's key is unknown.
    #[must_use]
    pub const fn unknown_key() -> Self {
        Self::new(401, "Unauthorized", "unknown_key")
    }

    /// No route matches.
    #[must_use]
    pub const fn no_route() -> Self {
        Self::new(404, "Not Found", "no_route")
    }

    /// The request lacks what its route needs.
    #[must_use]
    pub const fn bad_request(code: &'static str) -> Self {
        Self::new(400, "Bad Request", code)
    }

    /// The bytes are not a request, or leave in doubt where it ends.
    #[must_use]
    pub const fn malformed() -> Self {
        Self {
            closes: true,
            ..Self::new(400, "Bad Request", "malformed")
        }
    }

    /// The head is too large.
    #[must_use]
    pub const fn head_too_large() -> Self {
        Self {
            closes: true,
            ..Self::new(431, "Request Header Fields Too Large", "head_too_large")
        }
    }

    /// The body is too large.
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

    /// Status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        self.status
    }

    /// Why the gateway answers itself.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        self.code
    }

    /// When the caller is asked to come back.
    #[must_use]
    pub const fn retry_after(&self) -> Option<TimeSpan> {
        self.retry_after
    }

    /// Whether the connection ends with the answer.
    #[must_use]
    pub const fn closes(&self) -> bool {
        self.closes
    }

    /// The answer as bytes. `closes` ends the connection.
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

impl fmt::Display for OwnAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.status, self.code)
    }
}
