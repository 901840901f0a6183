use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_types::{Method, Request, Url};
use smol::Timer;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    protocol::paths,
    units::ByteSize,
};

use crate::{
    connection::{CallError, ConnectionChoice},
    process::NodeState,
};

/// Interval between two queries.
const POLL_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// Timeout of one query.
const POLL_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);
/// Number of consecutive responses that the call is unknown to the target
/// after which the call is considered lost in transit.
const UNKNOWN_CALL_LIMIT: u32 = 10;

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const FAILED: u16 = 500;

/// Queries a service for the outcome of a call whose answer was lost.
#[derive(Debug)]
pub(super) struct OutcomeQuery {
    pub(super) node: Arc<NodeState>,
    pub(super) target: SocketAddr,
    /// Idempotency key of the call.
    pub(super) key: String,
    /// Time at which the queries stop.
    pub(super) deadline: ClockTime,
    /// Maximum size of the answer.
    pub(super) answer_limit: ByteSize,
}

/// State of a call as reported by its target.
enum CallStatus {
    Finished(Bytes),
    Failed,
    NotFound,
    Indeterminate,
}

impl OutcomeQuery {
    /// Polls the target until the outcome of the call is known. Returns the
    /// answer, or `None` if it is not available; the call may have run even then.
    pub(super) async fn poll_answer(&self) -> Option<Bytes> {
        let mut not_found = 0;
        while not_found < UNKNOWN_CALL_LIMIT && self.node.now() < self.deadline {
            match self.poll_once().await {
                Ok(CallStatus::Finished(body)) => return Some(body),
                Ok(CallStatus::Failed) => return None,
                Ok(CallStatus::NotFound) => not_found += 1,
                Ok(CallStatus::Indeterminate) | Err(_) => not_found = 0,
            }
            Timer::after(POLL_INTERVAL.into()).await;
        }
        None
    }

    async fn poll_once(&self) -> Result<CallStatus, CallError> {
        let path = paths::OUTCOMES;
        let Ok(url) = Url::parse(&format!("http://{}{path}{}", self.target, self.key)) else {
            return Ok(CallStatus::Indeterminate);
        };
        let call = Request::new(Method::Get, url);
        // Pooled connections may have stopped responding.
        let choice = ConnectionChoice::Fresh;
        let clients = &self.node.clients;
        let response = clients
            .call(self.target, call, choice, POLL_TIMEOUT)
            .await?;
        match u16::from(response.status()) {
            OK => {
                let body = response.into_body(self.answer_limit, POLL_TIMEOUT).await;
                Ok(body.map_or(CallStatus::Indeterminate, CallStatus::Finished))
            }
            NOT_FOUND => Ok(CallStatus::NotFound),
            FAILED => Ok(CallStatus::Failed),
            _ => Ok(CallStatus::Indeterminate),
        }
    }
}
