use std::collections::HashMap;

use super::{
    AdmissionAction, AdmissionDecision, AdmissionId, AdmissionMode, AdmissionRule, PoolIndex,
    PoolLoad, QueuedCall, RefusalReason, RequestArrival, RequestRefusal, SlotStatus, StartDecision,
    admitted_request::{AdmittedRequest, CallPhase},
    pool_slots::PoolSlots,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
};

/// Admits requests and assigns the slots of the pools, for one node.
///
/// [`admit`](Self::admit) decides at once. For each stage in turn, an admitted
/// request asks for a slot ([`start`](Self::start)) and releases it
/// ([`finish`](Self::finish)). Every admitted request must be removed at its
/// end, however it ends ([`remove`](Self::remove)). A call that was told to wait
/// gets exactly one action, unless its request is removed before.
#[derive(Debug)]
pub struct AdmissionController {
    rule: AdmissionRule,
    pools: Vec<PoolSlots>,
    requests: HashMap<AdmissionId, AdmittedRequest>,
    next_id: u64,
}

/// Predicted time of a request over all its stages, in milliseconds.
struct PathForecast {
    /// Time until the complete answer, including waits for slots.
    total: f64,
    /// The same without waits.
    unloaded: f64,
    /// The pool with the longest wait.
    bottleneck: Option<PoolIndex>,
}

impl AdmissionController {
    /// Creates a controller without pools.
    #[must_use]
    pub fn new(rule: AdmissionRule) -> Self {
        Self {
            rule,
            pools: Vec::new(),
            requests: HashMap::new(),
            next_id: 0,
        }
    }

    /// Adds a pool.
    pub fn add_pool(&mut self) -> PoolIndex {
        self.pools.push(PoolSlots::new(&self.rule));
        PoolIndex::new(self.pools.len() - 1)
    }

    /// State of a pool's slots; `None` for an unknown pool.
    #[must_use]
    pub fn status(&self, pool: PoolIndex) -> Option<SlotStatus> {
        self.pools.get(pool.index()).map(PoolSlots::status)
    }

    /// Number of admitted requests in progress.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Decides whether an arriving request is admitted. No slot is taken yet.
    pub fn admit(&mut self, arrival: &RequestArrival<'_>, now: ClockTime) -> AdmissionDecision {
        if self.rule.mode == AdmissionMode::Adaptive
            && let Some(refusal) = self.refusal(arrival, now)
        {
            return AdmissionDecision::Refused(refusal);
        }
        for demand in arrival.stages {
            if let Some(slots) = self.pools.get_mut(demand.pool.index()) {
                slots.add_pending(arrival.workspace, demand);
            }
        }
        let id = AdmissionId::new(self.next_id);
        self.next_id += 1;
        let request = AdmittedRequest {
            workspace: arrival.workspace,
            deadline: arrival.deadline,
            stages: arrival.stages.to_vec(),
            current_stage: 0,
            phase: CallPhase::NotStarted,
        };
        self.requests.insert(id, request);
        AdmissionDecision::Admitted(id)
    }

    fn refusal(&self, arrival: &RequestArrival<'_>, now: ClockTime) -> Option<RequestRefusal> {
        let forecast = self.forecast(arrival);
        let time_left = numbers::millis(now.until(arrival.deadline));
        let slack = (time_left - forecast.unloaded).max(0.0);
        let wait = forecast.total - forecast.unloaded;
        let excess_wait = wait - slack * self.rule.slack_share;
        let min_retry_after = self.rule.min_retry_after;
        if forecast.unloaded > time_left {
            return Some(RequestRefusal {
                reason: RefusalReason::DeadlineTooShort,
                pool: None,
                retry_after: None,
            });
        }
        if excess_wait > 0.0 {
            return Some(RequestRefusal {
                reason: RefusalReason::Overload,
                pool: forecast.bottleneck,
                retry_after: Some(numbers::span(excess_wait).max(min_retry_after)),
            });
        }
        (self.requests.len() >= self.rule.request_limit).then_some(RequestRefusal {
            reason: RefusalReason::Full,
            pool: forecast.bottleneck,
            retry_after: Some(min_retry_after),
        })
    }

    /// Predicts the time of a request: each stage starts when the one before it is
    /// done and its pool has completed the work ahead.
    fn forecast(&self, arrival: &RequestArrival<'_>) -> PathForecast {
        let mut total = 0.0_f64;
        let mut unloaded = 0.0;
        let mut bottleneck = None;
        let mut longest_wait = 0.0;
        for demand in arrival.stages {
            let slots = self.pools.get(demand.pool.index());
            let wait = slots.map_or(0.0, |slots| {
                slots.predicted_wait(arrival.workspace, demand.work)
            });
            if wait > longest_wait {
                longest_wait = wait;
                bottleneck = Some(demand.pool);
            }
            total = total.max(wait) + numbers::millis(demand.time);
            unloaded += numbers::millis(demand.time);
        }
        PathForecast {
            total,
            unloaded,
            bottleneck,
        }
    }

    /// Asks for a slot for the current stage of a request.
    pub fn start(&mut self, id: AdmissionId, now: ClockTime) -> StartDecision {
        let Some(request) = self.requests.get_mut(&id) else {
            return StartDecision::Expired;
        };
        let Some(demand) = request.current_demand() else {
            return StartDecision::Expired;
        };
        let Some(slots) = self.pools.get_mut(demand.pool.index()) else {
            return StartDecision::Expired;
        };
        if request.phase != CallPhase::NotStarted {
            return StartDecision::Waiting;
        }
        let unlimited = self.rule.mode == AdmissionMode::None;
        if unlimited || (slots.queue.is_empty() && slots.has_slot()) {
            slots.queue.charge(request.workspace, demand.work);
            slots.remove_pending(request.workspace, &demand);
            slots.running += 1;
            request.phase = CallPhase::Running;
            return StartDecision::Started;
        }
        let latest_start = request.latest_start();
        if latest_start < now {
            return StartDecision::Expired;
        }
        let call = QueuedCall {
            latest_start,
            request: id,
            work: demand.work,
        };
        slots.queue.push(request.workspace, call);
        request.phase = CallPhase::Waiting;
        StartDecision::Waiting
    }

    /// Ends the call of the current stage, which took `took` since it got its
    /// slot, and moves the request on to its next stage. Waiting calls get the
    /// slot.
    pub fn finish(
        &mut self,
        id: AdmissionId,
        took: TimeSpan,
        now: ClockTime,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(demand) = request.current_demand() else {
            return;
        };
        if request.phase != CallPhase::Running {
            return;
        }
        request.current_stage += 1;
        request.phase = CallPhase::NotStarted;
        if let Some(slots) = self.pools.get_mut(demand.pool.index()) {
            slots.record_call(demand.work, took);
            slots.running = slots.running.saturating_sub(1);
        }
        self.start_waiting_calls(demand.pool, now, actions);
    }

    /// Removes a request and releases everything that it holds.
    pub fn remove(&mut self, id: AdmissionId, now: ClockTime, actions: &mut Vec<AdmissionAction>) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let mut freed = None;
        for (index, demand) in request
            .stages
            .iter()
            .enumerate()
            .skip(request.current_stage)
        {
            let Some(slots) = self.pools.get_mut(demand.pool.index()) else {
                continue;
            };
            let is_current = index == request.current_stage;
            if is_current && request.phase == CallPhase::Running {
                slots.running = slots.running.saturating_sub(1);
                freed = Some(demand.pool);
                continue;
            }
            if is_current && request.phase == CallPhase::Waiting {
                slots.queue.remove(request.workspace, id);
            }
            slots.remove_pending(request.workspace, demand);
        }
        if let Some(pool) = freed {
            self.start_waiting_calls(pool, now, actions);
        }
    }

    /// Adjusts the slots of a pool to its load and expires the calls that have
    /// waited too long. To be called about every 100 ms.
    pub fn update(
        &mut self,
        pool: PoolIndex,
        load: &PoolLoad,
        now: ClockTime,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(slots) = self.pools.get_mut(pool.index()) else {
            return;
        };
        slots.update(load, now);
        let expired = slots.queue.expire(now);
        for call in expired {
            self.mark_not_started(call.request);
            actions.push(AdmissionAction::Expire(call.request));
        }
        self.start_waiting_calls(pool, now, actions);
    }

    /// Starts waiting calls while slots are free.
    fn start_waiting_calls(
        &mut self,
        pool: PoolIndex,
        now: ClockTime,
        actions: &mut Vec<AdmissionAction>,
    ) {
        while let Some(slots) = self.pools.get_mut(pool.index())
            && slots.has_slot()
            && let Some(call) = slots.queue.pop()
        {
            if call.latest_start < now {
                self.refund(pool, call);
                self.mark_not_started(call.request);
                actions.push(AdmissionAction::Expire(call.request));
                continue;
            }
            self.mark_running(pool, call.request);
            actions.push(AdmissionAction::Start(call.request));
        }
    }

    fn mark_running(&mut self, pool: PoolIndex, id: AdmissionId) {
        let slots = self.pools.get_mut(pool.index());
        if let (Some(slots), Some(request)) = (slots, self.requests.get_mut(&id))
            && let Some(demand) = request.current_demand()
        {
            slots.remove_pending(request.workspace, &demand);
            slots.running += 1;
            request.phase = CallPhase::Running;
        }
    }

    fn refund(&mut self, pool: PoolIndex, call: QueuedCall) {
        let slots = self.pools.get_mut(pool.index());
        if let (Some(slots), Some(request)) = (slots, self.requests.get(&call.request)) {
            slots.queue.refund(request.workspace, call.work);
        }
    }

    /// Marks an expired call as no longer queued. The caller will remove its
    /// request.
    fn mark_not_started(&mut self, id: AdmissionId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = CallPhase::NotStarted;
        }
    }
}
