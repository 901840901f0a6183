use http_types::{Response, StatusCode};
use verbenahub_core::{
    clock::TimeSpan,
    ids::RequestId,
    protocol::{AnswerOutcome, ErrorBody, ErrorCode, headers},
};

/// Error response to a caller: the request was rejected or failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal(ErrorBody);

impl RequestRefusal {
    /// Creates an error response.
    #[must_use]
    pub fn new<Message>(outcome: AnswerOutcome, code: ErrorCode, message: Message) -> Self
    where
        Message: Into<String>,
    {
        Self(ErrorBody {
            request: None,
            outcome,
            code,
            message: message.into(),
            retry_after_ms: None,
        })
    }

    /// Creates the error response to a request of which nothing was sent to any
    /// target.
    #[must_use]
    pub fn not_run<Message>(code: ErrorCode, message: Message) -> Self
    where
        Message: Into<String>,
    {
        Self::new(AnswerOutcome::NotRun, code, message)
    }

    /// Adds the id of the request to the response.
    #[must_use]
    pub fn with_request(mut self, id: RequestId) -> Self {
        self.0.request = Some(id);
        self
    }

    /// Adds the delay after which the caller may retry.
    #[must_use]
    pub const fn with_retry_after(mut self, delay: TimeSpan) -> Self {
        self.0.retry_after_ms = Some(delay.as_millis());
        self
    }

    /// Body of the response.
    #[must_use]
    pub const fn body(&self) -> &ErrorBody {
        &self.0
    }

    /// Converts the error into an HTTP response.
    #[must_use]
    pub fn to_response(&self) -> Response {
        let mut response = Response::new(status_of(self.0.code));
        if let Some(millis) = self.0.retry_after_ms {
            let delay = TimeSpan::from_millis(millis);
            response.insert_header(headers::RETRY_AFTER, delay.as_secs_ceil().to_string());
            response.insert_header(headers::RETRY_AFTER_MS, millis.to_string());
        }
        if let Some(id) = &self.0.request {
            response.insert_header(headers::REQUEST_ID, id.as_str());
        }
        if self.0.code == ErrorCode::Unauthorized {
            response.insert_header("www-authenticate", "Bearer");
        }
        response.set_body(serde_json::to_vec(&self.0).unwrap_or_default());
        response.insert_header("content-type", "application/json");
        response
    }
}

impl From<ErrorBody> for RequestRefusal {
    fn from(body: ErrorBody) -> Self {
        Self(body)
    }
}

const fn status_of(code: ErrorCode) -> StatusCode {
    match code {
        ErrorCode::BadRequest => StatusCode::BadRequest,
        ErrorCode::Unauthorized => StatusCode::Unauthorized,
        ErrorCode::NotFound => StatusCode::NotFound,
        ErrorCode::MethodNotAllowed => StatusCode::MethodNotAllowed,
        ErrorCode::TooLarge => StatusCode::PayloadTooLarge,
        ErrorCode::RequestTimeout => StatusCode::RequestTimeout,
        ErrorCode::RateLimited => StatusCode::TooManyRequests,
        ErrorCode::Overloaded
        | ErrorCode::DeadlineUnreachable
        | ErrorCode::NoTarget
        | ErrorCode::NotReady => StatusCode::ServiceUnavailable,
        ErrorCode::DeadlineExceeded => StatusCode::GatewayTimeout,
        ErrorCode::StageFailed | ErrorCode::ConnectionLost => StatusCode::BadGateway,
        ErrorCode::TicketLost => StatusCode::Gone,
        ErrorCode::TicketReused => StatusCode::Conflict,
    }
}
