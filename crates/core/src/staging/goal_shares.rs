use super::{
    StageSet,
    recent_goals::{GoalKey, RecentGoals},
};
use crate::clock::ClockTime;

/// Entries of a set's route and workspace in [`GoalShares`].
#[derive(Clone, Copy, Debug)]
pub(super) struct GoalKeys {
    route: GoalKey,
    workspace: GoalKey,
}

/// Recent latency goals of a queue by route and by workspace.
#[derive(Clone, Debug, Default)]
pub(super) struct GoalShares {
    routes: RecentGoals,
    workspaces: RecentGoals,
}

impl GoalShares {
    pub(super) fn open(&mut self, set: &StageSet) -> GoalKeys {
        GoalKeys {
            route: self.routes.open(&set.route),
            workspace: self.workspaces.open(&set.workspace),
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

    /// Share of the recent goals that were not missed, from 0 to 1: the lower one of
    /// a set's route and workspace.
    pub(super) fn kept_share(&self, keys: GoalKeys) -> f64 {
        let route = self.routes.missed_share(keys.route);
        let workspace = self.workspaces.missed_share(keys.workspace);
        1.0 - route.max(workspace)
    }
}
