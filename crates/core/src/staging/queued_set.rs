use super::{StageSet, goal_shares::GoalKeys};
use crate::clock::ClockTime;

/// A set in the queue, waiting or partly processed.
#[derive(Clone, Debug)]
pub(super) struct QueuedSet {
    pub(super) set: StageSet,
    pub(super) arrived_at: ClockTime,
    /// Numbers of the pieces that wait for a call.
    pub(super) waiting: Vec<u32>,
    pub(super) results: Vec<Option<String>>,
    pub(super) missing: u32,
    pub(super) retries: u32,
    /// Whether its goal was given up: it cannot be met, or other sets go first.
    /// Never reset once true.
    pub(super) is_late: bool,
    /// Its goal in the shares of goals while it is neither met nor missed.
    pub(super) open_goal: Option<GoalKeys>,
}
