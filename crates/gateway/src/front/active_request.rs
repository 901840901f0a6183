use std::{cell::Cell, rc::Rc, sync::Arc};

use bytes::Bytes;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{PoolName, WorkspaceName},
    policy::quarantine::PartKey,
    routes::{RouteConfig, RouteSpec},
};
use verbenahub_platform::headers;

use super::RequestProgress;
use crate::http::RequestHead;

/// Part of the caller's wait for the first event that is reserved for sending
/// the response back.
const FIRST_EVENT_MARGIN: TimeSpan = TimeSpan::from_millis(50);

/// Maximum length of a prompt's list of parts in log lines, in characters.
const MAX_LOGGED_PROMPT: usize = 256;

/// A request that matched a route and passed authentication.
#[derive(Debug)]
pub struct ActiveRequest {
    /// Identifier that the caller gave this attempt.
    pub id: String,
    pub(super) progress: Cell<RequestProgress>,
    /// Request line and headers as they were received.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
    /// When the first byte was read.
    pub received_at: ClockTime,
    /// When the caller first sent the request, estimated from its deadline: a
    /// caller that retries after a refusal sends a shorter deadline.
    pub first_sent_at: ClockTime,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: ClockTime,
    /// Route that the request matched.
    pub route: Arc<RouteSpec>,
    /// Service chosen by the route's traffic split.
    pub service: PoolName,
    /// Parts of the prompt that other requests may share: all but the last one.
    pub shared_parts: Vec<PartKey>,
    /// Workspace of the caller, if the request was authenticated.
    pub workspace: Option<WorkspaceName>,
    /// Configuration at the time of arrival, which the request keeps until it
    /// ends.
    pub config: Rc<RouteConfig>,
}

impl ActiveRequest {
    /// How far the request has come.
    #[must_use]
    pub const fn progress(&self) -> RequestProgress {
        self.progress.get()
    }

    /// Records how far the request has come. Once its answer has begun, that stays so:
    /// a stream that is resumed is sent once more.
    pub fn set_progress(&self, progress: RequestProgress) {
        if self.progress.get() != RequestProgress::Answering {
            self.progress.set(progress);
        }
    }

    /// Time left until the deadline.
    #[must_use]
    pub const fn time_left(&self, now: ClockTime) -> TimeSpan {
        now.until(self.deadline)
    }

    /// The parts of the prompt as the caller named them, for log lines.
    #[must_use]
    pub fn prompt_text(&self) -> Option<String> {
        let text = self.head.headers.text(headers::PROMPT_PARTS)?;
        Some(text.chars().take(MAX_LOGGED_PROMPT).collect())
    }

    /// Latest time for the first event of a stream, since callers abandon silent
    /// streams.
    #[must_use]
    pub fn first_event_deadline(&self) -> ClockTime {
        let silent = self.received_at + self.route.first_event_limit();
        self.deadline.min(silent - FIRST_EVENT_MARGIN)
    }

    /// Latest time for a response that meets the route's latency goal.
    #[must_use]
    pub fn goal_at(&self) -> ClockTime {
        self.first_sent_at + self.route.goal
    }
}
