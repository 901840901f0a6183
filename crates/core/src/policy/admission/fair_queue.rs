use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap, HashMap},
    ops::Bound,
};

use super::{AdmissionId, QueuedCall};
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::WorkspaceHash,
};

/// Waiting calls: the least slack first among the workspaces that are within
/// a quantum of the one that got least.
///
/// Each workspace has a tag, the virtual time at which its next call starts
/// when work is shared equally. Virtual time is the lowest tag of a waiting
/// workspace; one that comes back from idleness begins there, so it cannot
/// save up shares.
#[derive(Debug, Default)]
pub struct FairQueue {
    quantum: u64,
    now: u64,
    /// Workspaces with tags up to here are in `eligible`.
    horizon: u64,
    queues: HashMap<WorkspaceHash, WorkspaceQueue>,
    by_tag: BTreeSet<(u64, WorkspaceHash)>,
    eligible: BTreeSet<(ClockTime, WorkspaceHash)>,
    length: usize,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    tag: u64,
    calls: BinaryHeap<Reverse<QueuedCall>>,
}

impl WorkspaceQueue {
    fn head(&self) -> Option<ClockTime> {
        self.calls.peek().map(|call| call.0.latest_start)
    }
}

impl FairQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(quantum: TimeSpan) -> Self {
        Self {
            quantum: quantum.as_millis(),
            horizon: quantum.as_millis(),
            ..Self::default()
        }
    }

    /// Number of waiting calls.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Whether no call waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Charges work that a workspace was given without waiting.
    pub fn charge(&mut self, workspace: WorkspaceHash, work: TimeSpan) {
        self.unlist(workspace);
        let now = self.now;
        let queue = self.queues.entry(workspace).or_default();
        queue.tag = queue.tag.max(now) + work.as_millis();
        let tag = queue.tag;
        self.list(workspace);
        if self.is_empty() {
            self.advance_to(tag.saturating_sub(self.quantum));
        }
    }

    /// Adds a call.
    pub fn push(&mut self, workspace: WorkspaceHash, call: QueuedCall) {
        self.unlist(workspace);
        let now = self.now;
        let queue = self.queues.entry(workspace).or_default();
        queue.tag = queue.tag.max(now);
        queue.calls.push(Reverse(call));
        self.length += 1;
        self.list(workspace);
    }

    /// Takes the next call and charges its workspace.
    pub fn pop(&mut self) -> Option<QueuedCall> {
        self.advance();
        let (_, workspace) = self.eligible.first().copied()?;
        self.unlist(workspace);
        let queue = self.queues.get_mut(&workspace)?;
        let call = queue.calls.pop().map(|call| call.0);
        queue.tag += call.map_or(0, |call| call.work.as_millis());
        self.length -= usize::from(call.is_some());
        self.list(workspace);
        call
    }

    /// Gives back work that was charged and not done.
    pub fn refund(&mut self, workspace: WorkspaceHash, work: TimeSpan) {
        self.unlist(workspace);
        if let Some(queue) = self.queues.get_mut(&workspace) {
            queue.tag = queue.tag.saturating_sub(work.as_millis()).max(self.now);
        }
        self.list(workspace);
    }

    /// Removes the calls that must have started before `now`.
    pub fn expire(&mut self, now: ClockTime) -> Vec<QueuedCall> {
        let late = |queue: &WorkspaceQueue| queue.head().is_some_and(|head| head < now);
        let queues = self.queues.iter();
        let affected: Vec<WorkspaceHash> = queues
            .filter(|(_, queue)| late(queue))
            .map(|(workspace, _)| *workspace)
            .collect();
        let mut expired = Vec::new();
        for workspace in affected {
            self.unlist(workspace);
            if let Some(queue) = self.queues.get_mut(&workspace) {
                while late(queue) {
                    expired.extend(queue.calls.pop().map(|call| call.0));
                }
            }
            self.list(workspace);
        }
        self.length -= expired.len();
        expired.sort_unstable();
        expired
    }

    /// Removes one call.
    pub fn remove(&mut self, workspace: WorkspaceHash, entry: AdmissionId) {
        self.unlist(workspace);
        if let Some(queue) = self.queues.get_mut(&workspace) {
            let before = queue.calls.len();
            queue.calls.retain(|call| call.0.entry != entry);
            self.length -= before - queue.calls.len();
        }
        self.list(workspace);
    }

    /// Forgets workspaces that do not wait and are not ahead of virtual time.
    /// When nothing waits, virtual time goes on to the highest tag less a
    /// quantum, so that old work is not held against anyone for long.
    pub fn tidy(&mut self) {
        if self.is_empty() {
            let highest = self.queues.values().map(|queue| queue.tag).max();
            self.advance_to(highest.unwrap_or(0).saturating_sub(self.quantum));
        }
        let now = self.now;
        self.queues
            .retain(|_, queue| !queue.calls.is_empty() || queue.tag > now);
    }

    /// Workspaces that are remembered.
    #[must_use]
    pub fn workspaces(&self) -> usize {
        self.queues.len()
    }

    /// Moves virtual time on while nothing waits.
    fn advance_to(&mut self, time: u64) {
        self.now = self.now.max(time);
        self.horizon = self.horizon.max(self.now + self.quantum);
    }

    /// Moves virtual time on to the lowest waiting tag and lets in the
    /// workspaces that come within a quantum of it.
    fn advance(&mut self) {
        let Some((tag, _)) = self.by_tag.first() else {
            return;
        };
        self.now = self.now.max(*tag);
        let horizon = self.now + self.quantum;
        if horizon <= self.horizon {
            return;
        }
        let from = Bound::Excluded((self.horizon, WorkspaceHash::MAX));
        let to = Bound::Included((horizon, WorkspaceHash::MAX));
        for (_, workspace) in self.by_tag.range((from, to)) {
            let queue = self.queues.get(workspace);
            if let Some(head) = queue.and_then(WorkspaceQueue::head) {
                self.eligible.insert((head, *workspace));
            }
        }
        self.horizon = horizon;
    }

    fn unlist(&mut self, workspace: WorkspaceHash) {
        if let Some(queue) = self.queues.get(&workspace)
            && let Some(head) = queue.head()
        {
            self.by_tag.remove(&(queue.tag, workspace));
            self.eligible.remove(&(head, workspace));
        }
    }

    fn list(&mut self, workspace: WorkspaceHash) {
        if let Some(queue) = self.queues.get(&workspace)
            && let Some(head) = queue.head()
        {
            self.by_tag.insert((queue.tag, workspace));
            if queue.tag <= self.horizon {
                self.eligible.insert((head, workspace));
            }
        }
    }
}
