//! A simulation in fixed time steps of nodes that share one workspace's limit.

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{NodeId, WorkspaceId},
    policy::{
        WorkspaceHash,
        limits::{LeaseGrantor, LeaseRule, LimitDecision, LimitTable, OwnerView, WorkspaceLimit},
    },
    units::RateLimit,
};

/// Duration of one simulation step.
pub const STEP: TimeSpan = TimeSpan::from_millis(20);
/// Time between two rounds of lease requests of a node.
pub const INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// One simulated node.
struct FleetNode {
    id: NodeId,
    table: LimitTable,
    grantor: LeaseGrantor,
    /// Fraction of an event that is carried over to the next step.
    pending_events: f64,
    /// Nodes reach only nodes of the same group.
    group: usize,
    stopped: bool,
    /// Step within an interval at which the node requests leases.
    request_step: u64,
}

/// A fleet of nodes that receives the events of one workspace.
pub struct LimitFleet {
    nodes: Vec<FleetNode>,
    listed: usize,
    limit: WorkspaceLimit,
    workspace: WorkspaceHash,
    now: ClockTime,
}

impl LimitFleet {
    /// Creates a fleet of `size` nodes that all see each other, with a limit of
    /// `limit` events per second.
    pub fn new(size: usize, limit: f64, rule: LeaseRule) -> Self {
        let id = |index| NodeId::new(&format!("node-{index}")).unwrap();
        let now = ClockTime::from_millis(100_000);
        let view = OwnerView::new((0..size).map(id), size);
        let node = |index: usize| FleetNode {
            id: id(index),
            table: LimitTable::new(rule),
            grantor: LeaseGrantor::new(id(index), rule, view.clone(), now),
            pending_events: initial_fraction(index),
            group: 0,
            stopped: false,
            request_step: (index as u64 * 37) % (INTERVAL.as_millis() / STEP.as_millis()),
        };
        let workspace = WorkspaceId::new("workspace").unwrap();
        Self {
            nodes: (0..size).map(node).collect(),
            listed: size,
            limit: WorkspaceLimit {
                rate: RateLimit::per_second(limit).unwrap(),
                burst: 0,
            },
            workspace: WorkspaceHash::of(&workspace),
            now,
        }
    }

    /// Sets the number of events that the workspace may send at once.
    pub fn set_burst(&mut self, burst: u32) {
        self.limit.burst = burst;
    }

    /// Index of the node that owns the workspace in the first group.
    pub fn owner_index(&self) -> usize {
        let view = self.view(0);
        let owner = view.owner(self.workspace).cloned();
        let found = self
            .nodes
            .iter()
            .position(|node| Some(&node.id) == owner.as_ref());
        found.unwrap_or(0)
    }

    /// Partitions the network: lease requests reach only nodes of the same group.
    /// The grantors keep their views until [`update_views`](Self::update_views) is
    /// called.
    pub fn partition<F>(&mut self, mut group_of: F)
    where
        F: FnMut(usize) -> usize,
    {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.group = group_of(index);
        }
    }

    /// Stops a node permanently.
    pub fn stop(&mut self, index: usize) {
        self.nodes[index].stopped = true;
    }

    /// Updates the view of each grantor to the running nodes of its group.
    pub fn update_views(&mut self) {
        for index in 0..self.nodes.len() {
            self.update_view(index);
        }
    }

    /// Updates the view of one node's grantor to the running nodes of its group.
    pub fn update_view(&mut self, index: usize) {
        let view = self.view(self.nodes[index].group);
        let now = self.now;
        self.nodes[index].grantor.update_view(view, now);
    }

    fn view(&self, group: usize) -> OwnerView {
        let seen = self
            .nodes
            .iter()
            .filter(|node| node.group == group && !node.stopped);
        OwnerView::new(seen.map(|node| node.id.clone()), self.listed)
    }

    /// Runs for `span` while node `index` receives `rate(index)` events per
    /// second. Returns the allowed events per second.
    pub fn run<F>(&mut self, span: TimeSpan, mut rate: F) -> f64
    where
        F: FnMut(usize) -> f64,
    {
        let steps = span.as_millis() / STEP.as_millis();
        let mut allowed = 0.0;
        for step in 0..steps {
            self.now = self.now + STEP;
            for index in 0..self.nodes.len() {
                if !self.nodes[index].stopped {
                    allowed += self.send_events(index, rate(index));
                    self.request_leases(index, step);
                }
            }
        }
        allowed / span.as_secs_f64()
    }

    fn send_events(&mut self, index: usize, rate: f64) -> f64 {
        let (limit, listed, workspace, now) = (self.limit, self.listed, self.workspace, self.now);
        let node = &mut self.nodes[index];
        node.pending_events += rate * STEP.as_secs_f64();
        let mut allowed = 0.0;
        while node.pending_events >= 1.0 {
            node.pending_events -= 1.0;
            if node.table.try_acquire(workspace, limit, listed, now) == LimitDecision::Allowed {
                allowed += 1.0;
            }
        }
        allowed
    }

    fn request_leases(&mut self, index: usize, step: u64) {
        let period = INTERVAL.as_millis() / STEP.as_millis();
        if step % period != self.nodes[index].request_step {
            return;
        }
        let (limit, now) = (self.limit, self.now);
        let group = self.nodes[index].group;
        let node = &self.nodes[index];
        let view = self.view(group);
        let batches = node.table.end_interval(&node.id, &view, INTERVAL, now);
        for addressed in batches {
            let is_reachable_owner =
                |node: &FleetNode| node.id == addressed.owner && node.group == group;
            let Some(owner) = self.nodes.iter().position(is_reachable_owner) else {
                continue;
            };
            if self.nodes[owner].stopped {
                continue;
            }
            let reply =
                self.nodes[owner]
                    .grantor
                    .answer(&addressed.batch, |_| Some(limit.rate), now);
            self.nodes[index].table.apply_reply(&reply, now, now);
        }
    }
}

/// A fixed fraction for each node, so that rare events do not all arrive in the
/// same step.
fn initial_fraction(index: usize) -> f64 {
    f64::from(u32::try_from(index * 61 % 97).unwrap_or(0)) / 97.0
}
