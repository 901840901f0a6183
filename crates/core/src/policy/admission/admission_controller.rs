use std::collections::HashMap;

use super::{
    AdmissionAction, AdmissionDecision, AdmissionId, AdmissionMode, AdmissionRule, PoolIndex,
    PoolLoad, QueuedCall, RefusalReason, RequestArrival, RequestRefusal, SlotStatus, StartDecision,
    entry_state::{CallPhase, EntryState},
    pool_gate::PoolGate,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
};

/// Admits requests and hands out the slots of the pools, for one node.
///
/// Each [`admit`](Self::admit) is answered at once. An admitted request asks
/// for a slot for each of its stages in turn ([`start`](Self::start)), gives
/// it back ([`finish`](Self::finish)), and at its end, however it ends, it
/// leaves ([`remove`](Self::remove)). A call that was told to wait gets exactly
/// one action, unless its request leaves before.
#[derive(Debug)]
pub struct AdmissionController {
    rule: AdmissionRule,
    gates: Vec<PoolGate>,
    entries: HashMap<AdmissionId, EntryState>,
    next_entry: u64,
}

/// Where an arrival would run late.
struct PathForecast {
    /// Time until the whole answer, with waiting.
    total: f64,
    /// The same without waiting.
    unloaded: f64,
    /// The pool with the longest wait.
    longest: Option<PoolIndex>,
}

impl AdmissionController {
    /// Creates a machine without pools.
    #[must_use]
    pub fn new(rule: AdmissionRule) -> Self {
        Self {
            rule,
            gates: Vec::new(),
            entries: HashMap::new(),
            next_entry: 0,
        }
    }

    /// Adds a pool.
    pub fn add_pool(&mut self) -> PoolIndex {
        self.gates.push(PoolGate::new(&self.rule));
        PoolIndex::new(self.gates.len() - 1)
    }

    /// State of a pool's slots; nothing for an unknown pool.
    #[must_use]
    pub fn status(&self, pool: PoolIndex) -> Option<SlotStatus> {
        self.gates.get(pool.index()).map(PoolGate::status)
    }

    /// Requests under way.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.entries.len()
    }

    /// Answers an arrival.
    pub fn admit(&mut self, arrival: &RequestArrival<'_>, now: ClockTime) -> AdmissionDecision {
        if self.rule.mode == AdmissionMode::Adaptive
            && let Some(refusal) = self.refusal(arrival, now)
        {
            return AdmissionDecision::Refused(refusal);
        }
        for demand in arrival.stages {
            if let Some(gate) = self.gates.get_mut(demand.pool.index()) {
                gate.plan(arrival.workspace, demand);
            }
        }
        let entry = AdmissionId::new(self.next_entry);
        self.next_entry += 1;
        let state = EntryState {
            workspace: arrival.workspace,
            deadline: arrival.deadline,
            stages: arrival.stages.to_vec(),
            stage: 0,
            phase: CallPhase::Planned,
        };
        self.entries.insert(entry, state);
        AdmissionDecision::Admitted(entry)
    }

    fn refusal(&self, arrival: &RequestArrival<'_>, now: ClockTime) -> Option<RequestRefusal> {
        let forecast = self.forecast(arrival);
        let left = numbers::millis(now.until(arrival.deadline));
        let slack = (left - forecast.unloaded).max(0.0);
        let wait = forecast.total - forecast.unloaded;
        let late = wait - slack * self.rule.slack_share;
        let soon = self.rule.shortest_return;
        if forecast.unloaded > left {
            return Some(RequestRefusal {
                reason: RefusalReason::DeadlineTooShort,
                pool: None,
                retry_after: None,
            });
        }
        if late > 0.0 {
            return Some(RequestRefusal {
                reason: RefusalReason::Overload,
                pool: forecast.longest,
                retry_after: Some(numbers::span(late).max(soon)),
            });
        }
        (self.entries.len() >= self.rule.request_limit).then_some(RequestRefusal {
            reason: RefusalReason::Full,
            pool: forecast.longest,
            retry_after: Some(soon),
        })
    }

    /// A stage starts when the one before it is done and its pool has worked
    /// off what is ahead.
    fn forecast(&self, arrival: &RequestArrival<'_>) -> PathForecast {
        let mut total = 0.0_f64;
        let mut unloaded = 0.0;
        let mut longest = None;
        let mut longest_wait = 0.0;
        for demand in arrival.stages {
            let gate = self.gates.get(demand.pool.index());
            let wait = gate.map_or(0.0, |gate| {
                gate.predicted_wait(arrival.workspace, demand.work)
            });
            if wait > longest_wait {
                longest_wait = wait;
                longest = Some(demand.pool);
            }
            total = total.max(wait) + numbers::millis(demand.time);
            unloaded += numbers::millis(demand.time);
        }
        PathForecast {
            total,
            unloaded,
            longest,
        }
    }

    /// Asks for a slot for the present stage of a request.
    pub fn start(&mut self, entry: AdmissionId, now: ClockTime) -> StartDecision {
        let Some(state) = self.entries.get_mut(&entry) else {
            return StartDecision::Expired;
        };
        let Some(demand) = state.demand() else {
            return StartDecision::Expired;
        };
        let Some(gate) = self.gates.get_mut(demand.pool.index()) else {
            return StartDecision::Expired;
        };
        if state.phase != CallPhase::Planned {
            return StartDecision::Waiting;
        }
        let open = self.rule.mode == AdmissionMode::None;
        if open || (gate.queue.is_empty() && gate.has_slot()) {
            gate.queue.charge(state.workspace, demand.work);
            gate.unplan(state.workspace, &demand);
            gate.running += 1;
            state.phase = CallPhase::Running;
            return StartDecision::Started;
        }
        let latest_start = state.latest_start();
        if latest_start < now {
            return StartDecision::Expired;
        }
        let call = QueuedCall {
            latest_start,
            entry,
            work: demand.work,
        };
        gate.queue.push(state.workspace, call);
        state.phase = CallPhase::Waiting;
        StartDecision::Waiting
    }

    /// Ends the call of the present stage, which took `took` since it got its
    /// slot; the request goes on to its next stage. The slot goes to the calls
    /// that wait.
    pub fn finish(
        &mut self,
        entry: AdmissionId,
        took: TimeSpan,
        now: ClockTime,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(state) = self.entries.get_mut(&entry) else {
            return;
        };
        let Some(demand) = state.demand() else {
            return;
        };
        if state.phase != CallPhase::Running {
            return;
        }
        state.stage += 1;
        state.phase = CallPhase::Planned;
        if let Some(gate) = self.gates.get_mut(demand.pool.index()) {
            gate.note_call(demand.work, took);
            gate.running = gate.running.saturating_sub(1);
        }
        self.fill(demand.pool, now, actions);
    }

    /// Ends a request and gives back all that it holds.
    pub fn remove(
        &mut self,
        entry: AdmissionId,
        now: ClockTime,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(state) = self.entries.remove(&entry) else {
            return;
        };
        let mut freed = None;
        for (index, demand) in state.stages.iter().enumerate().skip(state.stage) {
            let Some(gate) = self.gates.get_mut(demand.pool.index()) else {
                continue;
            };
            let present = index == state.stage;
            if present && state.phase == CallPhase::Running {
                gate.running = gate.running.saturating_sub(1);
                freed = Some(demand.pool);
                continue;
            }
            if present && state.phase == CallPhase::Waiting {
                gate.queue.remove(state.workspace, entry);
            }
            gate.unplan(state.workspace, demand);
        }
        if let Some(pool) = freed {
            self.fill(pool, now, actions);
        }
    }

    /// Follows the load of a pool. To be called about every 100 ms; also
    /// expires the calls that have waited too long.
    pub fn update(
        &mut self,
        pool: PoolIndex,
        load: &PoolLoad,
        now: ClockTime,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(gate) = self.gates.get_mut(pool.index()) else {
            return;
        };
        gate.update(load, now);
        let expired = gate.queue.expire(now);
        for call in expired {
            self.drop_call(call.entry);
            actions.push(AdmissionAction::Expire(call.entry));
        }
        self.fill(pool, now, actions);
    }

    /// Gives free slots to waiting calls.
    fn fill(&mut self, pool: PoolIndex, now: ClockTime, actions: &mut Vec<AdmissionAction>) {
        while let Some(gate) = self.gates.get_mut(pool.index())
            && gate.has_slot()
            && let Some(call) = gate.queue.pop()
        {
            if call.latest_start < now {
                self.refund(pool, call);
                self.drop_call(call.entry);
                actions.push(AdmissionAction::Expire(call.entry));
                continue;
            }
            self.run_call(pool, call.entry);
            actions.push(AdmissionAction::Start(call.entry));
        }
    }

    fn run_call(&mut self, pool: PoolIndex, entry: AdmissionId) {
        let gate = self.gates.get_mut(pool.index());
        if let (Some(gate), Some(state)) = (gate, self.entries.get_mut(&entry))
            && let Some(demand) = state.demand()
        {
            gate.unplan(state.workspace, &demand);
            gate.running += 1;
            state.phase = CallPhase::Running;
        }
    }

    fn refund(&mut self, pool: PoolIndex, call: QueuedCall) {
        let gate = self.gates.get_mut(pool.index());
        if let (Some(gate), Some(state)) = (gate, self.entries.get(&call.entry)) {
            gate.queue.refund(state.workspace, call.work);
        }
    }

    /// Marks a call that is no longer queued; its request will leave.
    fn drop_call(&mut self, entry: AdmissionId) {
        if let Some(state) = self.entries.get_mut(&entry) {
            state.phase = CallPhase::Planned;
        }
    }
}
