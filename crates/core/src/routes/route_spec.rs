use serde::{Deserialize, Serialize};

use super::{GraphStage, RouteKind, SplitShare};
use crate::{clock::TimeSpan, ids::PoolName, policy::numbers};

/// Shortest time after which callers give up a stream that is silent.
const LEAST_SILENCE: TimeSpan = TimeSpan::from_secs(2);
/// Multiple of the goal after which they do.
const SILENCE_GOALS: u64 = 4;
/// Multiple of the longest pause after which they do.
const SILENCE_GAPS: u64 = 8;

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name, for logs.
    pub name: String,
    /// Host that requests name, in lower case and without a port.
    pub host: String,
    /// Beginning of the path. Begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may be kept waiting.
    pub timeout: TimeSpan,
    /// Time within which an answer has its full value.
    pub goal: TimeSpan,
    /// Rank against other routes, 0 is the highest.
    pub priority: u8,
    /// Services that serve the route. Never empty.
    pub split: Vec<SplitShare>,
    /// Targets that one request may be sent to at most.
    pub attempts: u32,
    /// Stages that come before the request itself, in topological order.
    pub stages: Vec<GraphStage>,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a broken stream may go on at another target.
    pub resumable: bool,
    /// Longest pause between the events of a stream that is on time.
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

    /// How long callers wait for a stream's first event, as the platform's
    /// protocol has it: the longest of three spans.
    #[must_use]
    pub fn first_event_limit(&self) -> TimeSpan {
        let by_goal = self.goal * SILENCE_GOALS;
        let by_gap = self.gap_limit * SILENCE_GAPS;
        by_goal.max(by_gap).max(LEAST_SILENCE)
    }

    /// Silence after which a stream that can go on at another target does so.
    /// Callers leave a silent stream after the longest of three spans; half of
    /// it is left for the other target to read the prompt again.
    #[must_use]
    pub fn stall_limit(&self) -> TimeSpan {
        TimeSpan::from_millis(self.first_event_limit().as_millis() / 2)
    }

    /// The service of a request whose place in the split is `draw`, from 0 up
    /// to but without 1.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&PoolName> {
        let total: u32 = self.split.iter().map(|share| share.weight).sum();
        let mut place = numbers::floor(draw.clamp(0.0, 1.0) * f64::from(total));
        for share in &self.split {
            let weight = usize::try_from(share.weight).unwrap_or(usize::MAX);
            if place < weight {
                return Some(&share.service);
            }
            place -= weight;
        }
        let weighted = self.split.iter().rev().find(|share| share.weight > 0);
        weighted.or(self.split.last()).map(|share| &share.service)
    }
}
