use serde::{Deserialize, Serialize};

use super::{GraphStage, RouteKind, SplitShare};
use crate::{clock::TimeSpan, ids::PoolName, policy::numbers};

/// Shortest silence after which callers abandon a stream.
const MIN_SILENCE_LIMIT: TimeSpan = TimeSpan::from_secs(2);
/// Multiple of the route's goal after which callers abandon a silent stream.
const SILENCE_GOAL_MULTIPLE: u64 = 4;
/// Multiple of the route's gap limit after which callers abandon a silent stream.
const SILENCE_GAP_MULTIPLE: u64 = 8;

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name of the route, used in logs.
    pub name: String,
    /// Host of matching requests, in lower case and without a port.
    pub host: String,
    /// Path prefix of matching requests. Starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub kind: RouteKind,
    /// Upper bound of the deadline of a request, and its default.
    pub timeout: TimeSpan,
    /// Latency goal: a response within this time is on time and has its full
    /// value.
    pub goal: TimeSpan,
    /// Priority relative to other routes; 0 is the highest.
    pub priority: u8,
    /// Services among which the requests are split by weight. Never empty.
    pub split: Vec<SplitShare>,
    /// Maximum number of targets that one request may be sent to.
    pub attempts: u32,
    /// Stages that run before the request itself, in topological order.
    pub stages: Vec<GraphStage>,
    /// Whether requests are allowed without an API key.
    pub public: bool,
    /// Whether a broken stream may be resumed at another target.
    pub resumable: bool,
    /// Maximum pause between events of a stream that is on time.
    pub gap_limit: TimeSpan,
}

impl RouteSpec {
    /// Whether a request may be sent again after it may have run.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// How long callers wait for the first event of a stream. The platform's
    /// protocol defines it as the longest of three times: a multiple of the
    /// goal, a multiple of the gap limit, and a fixed minimum.
    #[must_use]
    pub fn first_event_limit(&self) -> TimeSpan {
        let by_goal = self.goal * SILENCE_GOAL_MULTIPLE;
        let by_gap = self.gap_limit * SILENCE_GAP_MULTIPLE;
        by_goal.max(by_gap).max(MIN_SILENCE_LIMIT)
    }

    /// Silence after which a resumable stream is resumed at another target: half
    /// of the time after which callers abandon a silent stream. The other half is
    /// left for the new target to process the prompt again.
    #[must_use]
    pub fn stall_limit(&self) -> TimeSpan {
        TimeSpan::from_millis(self.first_event_limit().as_millis() / 2)
    }

    /// Picks the service of a request by weight. `draw` is a random number from 0
    /// to 1, excluding 1.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&PoolName> {
        let total: u32 = self.split.iter().map(|share| share.weight).sum();
        let mut position = numbers::floor(draw.clamp(0.0, 1.0) * f64::from(total));
        for share in &self.split {
            let weight = usize::try_from(share.weight).unwrap_or(usize::MAX);
            if position < weight {
                return Some(&share.service);
            }
            position -= weight;
        }
        let weighted = self.split.iter().rev().find(|share| share.weight > 0);
        weighted.or(self.split.last()).map(|share| &share.service)
    }
}
