use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{PoolName, WorkspaceId},
    routes::{RouteConfig, RouteSpec},
};

use crate::http::RequestHead;

/// Part of a caller's patience that is left for the way of an answer.
const FIRST_EVENT_MARGIN: TimeSpan = TimeSpan::from_millis(50);

/// A request that a route takes, for as long as it lives.
#[derive(Debug)]
pub struct ActiveRequest {
    /// The caller's identifier of this attempt.
    pub id: String,
    /// Head as it was received.
    pub head: RequestHead,
    /// Whole body.
    pub body: Bytes,
    /// When its first byte was read.
    pub received: ClockTime,
    /// When the caller first sent it, as far as its deadline tells: a caller
    /// that comes back after a refusal waits for less than others.
    pub first_sent: ClockTime,
    /// When the caller or the operator wants it to be over.
    pub limit_at: ClockTime,
    /// Route.
    pub route: Arc<RouteSpec>,
    /// Service that the route's split has given it.
    pub service: PoolName,
    /// Workspace of the caller, if the configuration has any.
    pub workspace: Option<WorkspaceId>,
    /// Configuration with which it began, and which it keeps.
    pub config: Rc<RouteConfig>,
}

impl ActiveRequest {
    /// Time that is left at `now`.
    #[must_use]
    pub const fn left(&self, now: ClockTime) -> TimeSpan {
        now.until(self.limit_at)
    }

    /// When a stream must have begun: callers leave silent ones.
    #[must_use]
    pub fn first_event_by(&self) -> ClockTime {
        let silent = self.received + self.route.first_event_limit();
        self.limit_at.min(silent - FIRST_EVENT_MARGIN)
    }

    /// When an answer has its full value no longer.
    #[must_use]
    pub fn goal_at(&self) -> ClockTime {
        self.first_sent + self.route.goal
    }
}
