use std::collections::HashMap;

use super::{AdmissionRule, FairQueue, PoolLoad, SlotLimit, SlotStatus, StageDemand};
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::WorkspaceHash,
    policy::numbers,
};

/// Weight of one call in the slowdown of a pool.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// Weight of one update in the drain rate.
const DRAIN_WEIGHT: f64 = 0.1;

/// Smallest share of what the limit allows that the drain rate is taken for.
const DRAIN_FLOOR: f64 = 0.1;

/// Slots of one pool at one node, and who waits for them.
#[derive(Debug)]
pub(super) struct PoolGate {
    pub(super) queue: FairQueue,
    pub(super) limit: SlotLimit,
    pub(super) running: u32,
    slowdown: f64,
    /// Work done in a millisecond while calls wait.
    drain: f64,
    /// Work done since the last update.
    done: u64,
    updated: ClockTime,
    /// Work that is admitted and has not started here.
    pending: u64,
    pending_by: HashMap<WorkspaceHash, u64>,
}

impl PoolGate {
    pub(super) fn new(rule: &AdmissionRule) -> Self {
        Self {
            queue: FairQueue::new(rule.fair_quantum),
            limit: SlotLimit::default(),
            running: 0,
            slowdown: 1.0,
            drain: 1.0,
            done: 0,
            updated: ClockTime::ZERO,
            pending: 0,
            pending_by: HashMap::new(),
        }
    }

    pub(super) fn status(&self) -> SlotStatus {
        SlotStatus {
            limit: self.limit.get(),
            running: self.running,
            waiting: self.queue.len(),
            pending: TimeSpan::from_millis(self.pending),
            slowdown: self.slowdown,
        }
    }

    /// Time until a call of the workspace that is admitted now would start,
    /// when slots are shared fairly.
    pub(super) fn predicted_wait(&self, workspace: WorkspaceHash, work: TimeSpan) -> f64 {
        let limit = self.limit.get();
        let own = self.pending_by.get(&workspace).copied();
        let others = self.pending_by.len() - usize::from(own.is_some());
        let fair = as_millis(own.unwrap_or(0)) * (numbers::count(others) + 1.0);
        let ahead = fair.min(as_millis(self.pending));
        let free = (limit - f64::from(self.running)).max(0.0);
        let at_once = free * numbers::millis(work);
        (ahead - at_once).max(0.0) / self.drain
    }

    /// Notes work of an admitted request.
    pub(super) fn plan(&mut self, workspace: WorkspaceHash, demand: &StageDemand) {
        let work = demand.work.as_millis();
        self.pending += work;
        *self.pending_by.entry(workspace).or_default() += work;
    }

    /// Takes back planned work that starts or is given up.
    pub(super) fn unplan(&mut self, workspace: WorkspaceHash, demand: &StageDemand) {
        let work = demand.work.as_millis();
        self.pending = self.pending.saturating_sub(work);
        if let Some(own) = self.pending_by.get_mut(&workspace) {
            *own = own.saturating_sub(work);
            if *own == 0 {
                self.pending_by.remove(&workspace);
            }
        }
    }

    /// Whether a call may start at once.
    pub(super) fn has_slot(&self) -> bool {
        f64::from(self.running) + 1.0 <= self.limit.get()
    }

    /// Notes how long a call took that needed `work`.
    pub(super) fn note_call(&mut self, work: TimeSpan, took: TimeSpan) {
        let slowdown = numbers::millis(took) / numbers::millis(work).max(1.0);
        // Answers differ in length, so single calls may be faster than the mean;
        // only the mean over calls tells waiting from work.
        self.slowdown += SLOWDOWN_WEIGHT * (slowdown - self.slowdown);
        self.done += work.as_millis();
    }

    /// Follows the load of the pool.
    pub(super) fn update(&mut self, load: &PoolLoad, now: ClockTime) {
        let running = f64::from(self.running);
        self.limit.update(load, running, self.slowdown);
        self.update_drain(now);
        self.queue.tidy();
    }

    /// The drain rate is measured while calls wait, else it is what the limit
    /// allows.
    fn update_drain(&mut self, now: ClockTime) {
        let elapsed = numbers::millis(now.since(self.updated));
        let allowed = self.limit.get() / self.slowdown.max(1.0);
        if self.queue.is_empty() {
            self.drain = allowed;
        } else if elapsed > 0.0 {
            let measured = as_millis(self.done) / elapsed;
            self.drain += DRAIN_WEIGHT * (measured - self.drain);
            self.drain = self.drain.max(DRAIN_FLOOR * allowed);
        }
        self.done = 0;
        self.updated = now;
    }
}

fn as_millis(work: u64) -> f64 {
    numbers::millis(TimeSpan::from_millis(work))
}
