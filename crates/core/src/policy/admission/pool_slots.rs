use std::collections::HashMap;

use super::{AdmissionRule, FairQueue, PoolLoad, SlotLimit, SlotStatus, StageDemand};
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::WorkspaceHash,
    policy::numbers,
};

/// Weight of one call in the mean slowdown of a pool.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// Weight of one update in the mean drain rate.
const DRAIN_RATE_WEIGHT: f64 = 0.1;

/// Lower bound of the drain rate, as a share of the rate that the slot limit
/// allows.
const MIN_DRAIN_RATE_SHARE: f64 = 0.1;

/// Slots of one pool on one node, and the calls that wait for them.
#[derive(Debug)]
pub(super) struct PoolSlots {
    pub(super) queue: FairQueue,
    pub(super) limit: SlotLimit,
    pub(super) running: u32,
    /// Mean ratio of the time that calls take to their work.
    slowdown: f64,
    /// Milliseconds of work completed per millisecond while calls wait.
    drain_rate: f64,
    /// Work completed since the last update, in milliseconds.
    completed_work: u64,
    updated_at: ClockTime,
    /// Work of admitted requests that has not started in this pool, in
    /// milliseconds.
    pending_work: u64,
    pending_by_workspace: HashMap<WorkspaceHash, u64>,
}

impl PoolSlots {
    pub(super) fn new(rule: &AdmissionRule) -> Self {
        Self {
            queue: FairQueue::new(rule.fair_quantum),
            limit: SlotLimit::default(),
            running: 0,
            slowdown: 1.0,
            drain_rate: 1.0,
            completed_work: 0,
            updated_at: ClockTime::ZERO,
            pending_work: 0,
            pending_by_workspace: HashMap::new(),
        }
    }

    pub(super) fn status(&self) -> SlotStatus {
        SlotStatus {
            limit: self.limit.get(),
            running: self.running,
            waiting: self.queue.len(),
            pending: TimeSpan::from_millis(self.pending_work),
            slowdown: self.slowdown,
        }
    }

    /// Predicted time in milliseconds until a call of the workspace would start
    /// if its request were admitted now. With slots shared fairly, the work ahead
    /// is that of the workspace times the number of workspaces with pending work,
    /// at most all pending work.
    pub(super) fn predicted_wait(&self, workspace: WorkspaceHash, work: TimeSpan) -> f64 {
        let limit = self.limit.get();
        let own = self.pending_by_workspace.get(&workspace).copied();
        let others = self.pending_by_workspace.len() - usize::from(own.is_some());
        let fair_share = as_millis(own.unwrap_or(0)) * (numbers::count(others) + 1.0);
        let work_ahead = fair_share.min(as_millis(self.pending_work));
        let free_slots = (limit - f64::from(self.running)).max(0.0);
        let started_at_once = free_slots * numbers::millis(work);
        (work_ahead - started_at_once).max(0.0) / self.drain_rate
    }

    /// Counts work of an admitted request as pending.
    pub(super) fn add_pending(&mut self, workspace: WorkspaceHash, demand: &StageDemand) {
        let work = demand.work.as_millis();
        self.pending_work += work;
        *self.pending_by_workspace.entry(workspace).or_default() += work;
    }

    /// Removes pending work that starts or is given up.
    pub(super) fn remove_pending(&mut self, workspace: WorkspaceHash, demand: &StageDemand) {
        let work = demand.work.as_millis();
        self.pending_work = self.pending_work.saturating_sub(work);
        if let Some(own) = self.pending_by_workspace.get_mut(&workspace) {
            *own = own.saturating_sub(work);
            if *own == 0 {
                self.pending_by_workspace.remove(&workspace);
            }
        }
    }

    /// Whether a slot is free.
    pub(super) fn has_slot(&self) -> bool {
        f64::from(self.running) + 1.0 <= self.limit.get()
    }

    /// Records that a call of `work` took `took`.
    pub(super) fn record_call(&mut self, work: TimeSpan, took: TimeSpan) {
        let slowdown = numbers::millis(took) / numbers::millis(work).max(1.0);
        // Answers differ in length, so a single call may be faster than the mean
        // work. Only the mean over calls distinguishes waiting from work.
        self.slowdown += SLOWDOWN_WEIGHT * (slowdown - self.slowdown);
        self.completed_work += work.as_millis();
    }

    /// Adjusts the slot limit and the drain rate to the load of the pool.
    pub(super) fn update(&mut self, load: &PoolLoad, now: ClockTime) {
        let running = f64::from(self.running);
        self.limit.update(load, running, self.slowdown);
        self.update_drain_rate(now);
        self.queue.prune();
    }

    /// Sets the drain rate to the measured one while calls wait, else to the one
    /// that the slot limit allows.
    fn update_drain_rate(&mut self, now: ClockTime) {
        let elapsed = numbers::millis(now.since(self.updated_at));
        let allowed = self.limit.get() / self.slowdown.max(1.0);
        if self.queue.is_empty() {
            self.drain_rate = allowed;
        } else if elapsed > 0.0 {
            let measured = as_millis(self.completed_work) / elapsed;
            self.drain_rate += DRAIN_RATE_WEIGHT * (measured - self.drain_rate);
            self.drain_rate = self.drain_rate.max(MIN_DRAIN_RATE_SHARE * allowed);
        }
        self.completed_work = 0;
        self.updated_at = now;
    }
}

fn as_millis(work: u64) -> f64 {
    numbers::millis(TimeSpan::from_millis(work))
}
