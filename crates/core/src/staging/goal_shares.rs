use super::{
    StageSet,
    queue_order::LOWEST_DISTINCT_PRIORITY,
    recent_goals::{GoalKey, RecentGoals},
};
use crate::{clock::ClockTime, policy::numbers};

/// Difference in missed goals, as a share, that each lower priority allows between
/// two routes at one stage. A request can miss its goal at each of its stages, so
/// the difference over three stages is about three times as large.
const PRIORITY_ALLOWANCE: f64 = 0.03;
/// Largest such difference: less urgent routes miss more goals, but not all.
const MAX_PRIORITY_ALLOWANCE: f64 = 0.12;
/// Share of its goals that a workspace may miss beyond that of the routes before it
/// is preferred to others. Workspaces differ in the routes that they use.
const WORKSPACE_ALLOWANCE: f64 = 0.03;
/// Missed shares that differ by less count as equal, so that the cost of a set
/// decides.
const SHARE_STEP: f64 = 0.06;

/// Entries of a set's route and workspace in [`GoalShares`].
#[derive(Clone, Copy, Debug)]
pub(super) struct GoalKeys {
    route: GoalKey,
    workspace: GoalKey,
    allowance: f64,
}

/// Recent latency goals of a queue by route and by workspace.
#[derive(Clone, Debug, Default)]
pub(super) struct GoalShares {
    routes: RecentGoals,
    workspaces: RecentGoals,
}

impl GoalShares {
    pub(super) fn open(&mut self, set: &StageSet) -> GoalKeys {
        let priority = f64::from(set.priority.min(LOWEST_DISTINCT_PRIORITY));
        GoalKeys {
            route: self.routes.open(&set.route),
            workspace: self.workspaces.open(&set.workspace),
            allowance: if set.route.is_empty() {
                // Sets of a node of the previous version, which compete by cost.
                0.0
            } else {
                (PRIORITY_ALLOWANCE * priority).min(MAX_PRIORITY_ALLOWANCE)
            },
        }
    }

    pub(super) fn meet(&mut self, keys: GoalKeys) {
        self.routes.meet(keys.route);
        self.workspaces.meet(keys.workspace);
    }

    pub(super) fn miss(&mut self, keys: GoalKeys) {
        self.routes.miss(keys.route);
        self.workspaces.miss(keys.workspace);
    }

    pub(super) fn forget(&mut self, keys: GoalKeys) {
        self.routes.forget(keys.route);
        self.workspaces.forget(keys.workspace);
    }

    pub(super) fn decay(&mut self, now: ClockTime) {
        self.routes.decay(now);
        self.workspaces.decay(now);
    }

    /// How much a set's route and workspace have missed beyond what is allowed to
    /// them, in steps. Sets with a lower level give up their goals first.
    pub(super) fn level(&self, keys: GoalKeys) -> usize {
        let route = self.routes.missed_share(keys.route) - keys.allowance;
        let workspace = self.workspaces.missed_share(keys.workspace) - WORKSPACE_ALLOWANCE;
        // The offset keeps all allowed differences above zero.
        let missed = route.max(workspace) + MAX_PRIORITY_ALLOWANCE;
        numbers::floor(missed / SHARE_STEP)
    }
}
