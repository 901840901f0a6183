use serde::{Deserialize, Serialize};

use super::AnswerOutcome;
use crate::ids::RequestId;

/// Error of a request: the JSON body of an error response, and the last line of
/// an incomplete streamed response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Id of the request, if one was assigned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Outcome of the request.
    pub outcome: AnswerOutcome,
    /// Machine-readable reason.
    pub code: ErrorCode,
    /// Human-readable reason.
    pub message: String,
    /// Time to wait before a retry, in milliseconds, if a retry is useful.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed.
    BadRequest,
    /// The credentials are missing or wrong.
    Unauthorized,
    /// The path, pipeline or ticket does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The body, the headers or the response exceed their size limit.
    TooLarge,
    /// The caller sent the request too slowly.
    RequestTimeout,
    /// The workspace exceeded its rate limit.
    RateLimited,
    /// The system or a target is overloaded.
    Overloaded,
    /// The request cannot finish before its deadline.
    DeadlineUnreachable,
    /// The deadline has passed.
    DeadlineExceeded,
    /// No target is available for a stage.
    NoTarget,
    /// A stage failed.
    StageFailed,
    /// The node is starting, stopping or disconnected.
    NotReady,
    /// The ticket has expired, or the node that may run it is gone.
    TicketLost,
    /// The connection to a node or target was lost after the request was sent.
    ConnectionLost,
    /// The ticket was already used with a different body.
    TicketReused,
}
