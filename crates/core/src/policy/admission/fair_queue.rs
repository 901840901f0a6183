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

/// Fair queue of the calls that wait for a slot: start-time fair queueing over
/// workspaces, least slack first within a quantum of work.
///
/// Each workspace has a start tag, the virtual time at which its next call
/// starts when work is shared equally. Virtual time is the lowest start tag of a
/// waiting workspace. Workspaces whose start tag is at most a quantum ahead of
/// it are eligible, and the most urgent call of these goes first. A workspace
/// that was idle resumes at the current virtual time, so it cannot accumulate
/// unused shares.
#[derive(Debug, Default)]
pub struct FairQueue {
    quantum: u64,
    virtual_time: u64,
    /// Waiting workspaces with start tags up to here are in `eligible`.
    eligible_until: u64,
    queues: HashMap<WorkspaceHash, WorkspaceQueue>,
    by_start_tag: BTreeSet<(u64, WorkspaceHash)>,
    /// Ordered by the latest start of the most urgent call.
    eligible: BTreeSet<(ClockTime, WorkspaceHash)>,
    length: usize,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    start_tag: u64,
    calls: BinaryHeap<Reverse<QueuedCall>>,
}

impl WorkspaceQueue {
    /// Latest start of the most urgent call, or `None` without calls.
    fn most_urgent_start(&self) -> Option<ClockTime> {
        self.calls.peek().map(|call| call.0.latest_start)
    }
}

impl FairQueue {
    /// Creates an empty queue in which workspaces may differ by a `quantum` of
    /// work before the one ahead has to wait.
    #[must_use]
    pub fn new(quantum: TimeSpan) -> Self {
        Self {
            quantum: quantum.as_millis(),
            eligible_until: quantum.as_millis(),
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

    /// Charges a workspace for work that started without waiting.
    pub fn charge(&mut self, workspace: WorkspaceHash, work: TimeSpan) {
        self.remove_from_indexes(workspace);
        let virtual_time = self.virtual_time;
        let queue = self.queues.entry(workspace).or_default();
        queue.start_tag = queue.start_tag.max(virtual_time) + work.as_millis();
        let start_tag = queue.start_tag;
        self.add_to_indexes(workspace);
        if self.is_empty() {
            self.advance_to(start_tag.saturating_sub(self.quantum));
        }
    }

    /// Queues a call of a workspace.
    pub fn push(&mut self, workspace: WorkspaceHash, call: QueuedCall) {
        self.remove_from_indexes(workspace);
        let virtual_time = self.virtual_time;
        let queue = self.queues.entry(workspace).or_default();
        queue.start_tag = queue.start_tag.max(virtual_time);
        queue.calls.push(Reverse(call));
        self.length += 1;
        self.add_to_indexes(workspace);
    }

    /// Takes the next call and charges its workspace for it.
    pub fn pop(&mut self) -> Option<QueuedCall> {
        self.advance();
        let (_, workspace) = self.eligible.first().copied()?;
        self.remove_from_indexes(workspace);
        let queue = self.queues.get_mut(&workspace)?;
        let call = queue.calls.pop().map(|call| call.0);
        queue.start_tag += call.map_or(0, |call| call.work.as_millis());
        self.length -= usize::from(call.is_some());
        self.add_to_indexes(workspace);
        call
    }

    /// Reverses the charge for work that was not done.
    pub fn refund(&mut self, workspace: WorkspaceHash, work: TimeSpan) {
        self.remove_from_indexes(workspace);
        if let Some(queue) = self.queues.get_mut(&workspace) {
            queue.start_tag = queue
                .start_tag
                .saturating_sub(work.as_millis())
                .max(self.virtual_time);
        }
        self.add_to_indexes(workspace);
    }

    /// Removes and returns the calls whose latest start is before `now`.
    pub fn expire(&mut self, now: ClockTime) -> Vec<QueuedCall> {
        let has_expired =
            |queue: &WorkspaceQueue| queue.most_urgent_start().is_some_and(|latest| latest < now);
        let queues = self.queues.iter();
        let affected: Vec<WorkspaceHash> = queues
            .filter(|(_, queue)| has_expired(queue))
            .map(|(workspace, _)| *workspace)
            .collect();
        let mut expired = Vec::new();
        for workspace in affected {
            self.remove_from_indexes(workspace);
            if let Some(queue) = self.queues.get_mut(&workspace) {
                while has_expired(queue) {
                    expired.extend(queue.calls.pop().map(|call| call.0));
                }
            }
            self.add_to_indexes(workspace);
        }
        self.length -= expired.len();
        expired.sort_unstable();
        expired
    }

    /// Removes the call of a request.
    pub fn remove(&mut self, workspace: WorkspaceHash, request: AdmissionId) {
        self.remove_from_indexes(workspace);
        if let Some(queue) = self.queues.get_mut(&workspace) {
            let before = queue.calls.len();
            queue.calls.retain(|call| call.0.request != request);
            self.length -= before - queue.calls.len();
        }
        self.add_to_indexes(workspace);
    }

    /// Removes workspaces that have no waiting calls and are not ahead of virtual
    /// time. When no call waits, virtual time first advances to the highest start
    /// tag less a quantum, so that past work does not delay a workspace for long.
    pub fn prune(&mut self) {
        if self.is_empty() {
            let highest = self.queues.values().map(|queue| queue.start_tag).max();
            self.advance_to(highest.unwrap_or(0).saturating_sub(self.quantum));
        }
        let virtual_time = self.virtual_time;
        self.queues
            .retain(|_, queue| !queue.calls.is_empty() || queue.start_tag > virtual_time);
    }

    /// Number of workspaces that state is kept for.
    #[must_use]
    pub fn workspace_count(&self) -> usize {
        self.queues.len()
    }

    /// Advances virtual time while no call waits.
    fn advance_to(&mut self, time: u64) {
        self.virtual_time = self.virtual_time.max(time);
        self.eligible_until = self.eligible_until.max(self.virtual_time + self.quantum);
    }

    /// Advances virtual time to the lowest start tag of a waiting workspace and
    /// makes the workspaces within a quantum of it eligible.
    fn advance(&mut self) {
        let Some((start_tag, _)) = self.by_start_tag.first() else {
            return;
        };
        self.virtual_time = self.virtual_time.max(*start_tag);
        let eligible_until = self.virtual_time + self.quantum;
        if eligible_until <= self.eligible_until {
            return;
        }
        let from = Bound::Excluded((self.eligible_until, WorkspaceHash::MAX));
        let to = Bound::Included((eligible_until, WorkspaceHash::MAX));
        for (_, workspace) in self.by_start_tag.range((from, to)) {
            let queue = self.queues.get(workspace);
            if let Some(latest_start) = queue.and_then(WorkspaceQueue::most_urgent_start) {
                self.eligible.insert((latest_start, *workspace));
            }
        }
        self.eligible_until = eligible_until;
    }

    /// Removes a workspace from the indexes. Must be called before its queue
    /// changes.
    fn remove_from_indexes(&mut self, workspace: WorkspaceHash) {
        if let Some(queue) = self.queues.get(&workspace)
            && let Some(latest_start) = queue.most_urgent_start()
        {
            self.by_start_tag.remove(&(queue.start_tag, workspace));
            self.eligible.remove(&(latest_start, workspace));
        }
    }

    /// Adds a workspace with waiting calls to the indexes.
    fn add_to_indexes(&mut self, workspace: WorkspaceHash) {
        if let Some(queue) = self.queues.get(&workspace)
            && let Some(latest_start) = queue.most_urgent_start()
        {
            self.by_start_tag.insert((queue.start_tag, workspace));
            if queue.start_tag <= self.eligible_until {
                self.eligible.insert((latest_start, workspace));
            }
        }
    }
}
