use std::sync::Arc;

use super::{TargetPool, TargetVm};
use crate::{clock::ClockTime, policy::health::CallOutcome, protocol::LoadReport};

/// A call of this node that is in flight to a target. If it is dropped without
/// [`finish`](Self::finish), the call counts as cancelled.
#[derive(Debug)]
pub struct InFlightGuard {
    pool: Arc<TargetPool>,
    vm: Arc<TargetVm>,
    started_at: ClockTime,
    forecast: CallForecast,
}

/// The prediction for a call that was made when it was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallForecast {
    /// Predicted ratio of the call's total time to its service time.
    pub(super) slowdown: f64,
    /// Waiting time beyond the pool's mean that load reports predicted, in service
    /// times; `None` if no waiting was predicted.
    pub(super) excess_wait: Option<f64>,
}

impl InFlightGuard {
    pub(super) fn begin(
        pool: Arc<TargetPool>,
        vm: Arc<TargetVm>,
        forecast: CallForecast,
        now: ClockTime,
    ) -> Self {
        vm.stats.begin_call();
        Self {
            pool,
            vm,
            started_at: now,
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

    /// When the call was sent.
    #[must_use]
    pub const fn started_at(&self) -> ClockTime {
        self.started_at
    }

    /// Records a load report that was received with the response.
    pub fn report(&self, report: &LoadReport, now: ClockTime) {
        self.vm.stats.record_report(report, self.pool.stats(), now);
    }

    /// Ends the call with its outcome. Returns whether the target was ejected
    /// because of it.
    #[must_use]
    pub fn finish(self, outcome: CallOutcome, now: ClockTime) -> bool {
        let latency = now.since(self.started_at);
        if outcome == CallOutcome::Answered {
            self.pool.record_latency(&self.vm, latency, &self.forecast);
        }
        self.pool.record_outcome(&self.vm, outcome, now)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.vm.stats.end_call();
    }
}
