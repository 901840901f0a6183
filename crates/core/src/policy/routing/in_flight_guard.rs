use std::sync::Arc;

use super::{TargetPool, TargetVm};
use crate::{clock::ClockTime, policy::health::CallOutcome, protocol::LoadReport};

/// A call of this node in flight to a target. Dropped without
/// [`finish`](Self::finish) it counts as cancelled.
#[derive(Debug)]
pub struct InFlightGuard {
    pool: Arc<TargetPool>,
    vm: Arc<TargetVm>,
    started: ClockTime,
    forecast: CallForecast,
}

/// What was thought of a call when it began.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallForecast {
    /// Factor by which waiting was thought to lengthen the call.
    pub(super) stretch: f64,
    /// Waiting that load reports predicted beyond the pool's mean, in service
    /// times; nothing when no waiting was in sight.
    pub(super) excess: Option<f64>,
}

impl InFlightGuard {
    pub(super) fn begin(
        pool: Arc<TargetPool>,
        vm: Arc<TargetVm>,
        forecast: CallForecast,
        now: ClockTime,
    ) -> Self {
        vm.stats.begin();
        Self {
            pool,
            vm,
            started: now,
            forecast,
        }
    }

    /// The target.
    #[must_use]
    pub const fn vm(&self) -> &Arc<TargetVm> {
        &self.vm
    }

    /// The pool of the target.
    #[must_use]
    pub const fn pool(&self) -> &Arc<TargetPool> {
        &self.pool
    }

    /// When the call began.
    #[must_use]
    pub const fn started(&self) -> ClockTime {
        self.started
    }

    /// Takes in a load report that came with the answer.
    pub fn report(&self, report: &LoadReport, now: ClockTime) {
        self.vm.stats.take_report(report, self.pool.stats(), now);
    }

    /// Ends the call. Returns whether the target was ejected for it.
    #[must_use]
    pub fn finish(self, outcome: CallOutcome, now: ClockTime) -> bool {
        let took = now.since(self.started);
        if outcome == CallOutcome::Answered {
            self.pool.note_latency(&self.vm, took, &self.forecast);
        }
        self.pool.note_outcome(&self.vm, outcome, now)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.vm.stats.end();
    }
}
