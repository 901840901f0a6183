//! Nodes that share one workspace's limit, in steps of some milliseconds.

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{NodeId, WorkspaceId},
    policy::{
        WorkspaceHash,
        limits::{LeaseGrantor, LeaseRule, LimitDecision, LimitTable, OwnerView, WorkspaceLimit},
    },
    units::RateLimit,
};

/// Steps of the fleet.
pub const STEP: TimeSpan = TimeSpan::from_millis(20);
/// Time between two rounds of asks.
pub const INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// One node.
struct FleetNode {
    id: NodeId,
    table: LimitTable,
    home: LeaseGrantor,
    /// Events not yet offered, as a fraction.
    carry: f64,
    group: usize,
    dead: bool,
    offset: u64,
}

/// A fleet under one workspace's load.
pub struct LimitFleet {
    nodes: Vec<FleetNode>,
    listed: usize,
    limit: WorkspaceLimit,
    workspace: WorkspaceHash,
    now: ClockTime,
}

impl LimitFleet {
    /// Creates a fleet of nodes that all see each other.
    pub fn new(size: usize, limit: f64, rule: LeaseRule) -> Self {
        let id = |index| NodeId::new(&format!("node-{index}")).unwrap();
        let now = ClockTime::from_millis(100_000);
        let view = OwnerView::new((0..size).map(id), size);
        let node = |index: usize| FleetNode {
            id: id(index),
            table: LimitTable::new(rule),
            home: LeaseGrantor::new(id(index), rule, view.clone(), now),
            carry: fraction(index),
            group: 0,
            dead: false,
            offset: (index as u64 * 37) % (INTERVAL.as_millis() / STEP.as_millis()),
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

    /// Lets the workspace send so many events at once.
    pub fn set_burst(&mut self, burst: u32) {
        self.limit.burst = burst;
    }

    /// The node that is home of the workspace in the first group.
    pub fn home_index(&self) -> usize {
        let view = self.view(0);
        let home = view.owner(self.workspace).cloned();
        let found = self
            .nodes
            .iter()
            .position(|node| Some(&node.id) == home.as_ref());
        found.unwrap_or(0)
    }

    /// Splits the fleet: asks reach only nodes of the same group. The views
    /// follow with [`settle`](Self::settle).
    pub fn split<F>(&mut self, mut group_of: F)
    where
        F: FnMut(usize) -> usize,
    {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.group = group_of(index);
        }
    }

    /// Stops a node for good.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].dead = true;
    }

    /// All nodes see who is in their group.
    pub fn settle(&mut self) {
        for index in 0..self.nodes.len() {
            self.settle_one(index);
        }
    }

    /// One node sees who is in its group.
    pub fn settle_one(&mut self, index: usize) {
        let view = self.view(self.nodes[index].group);
        let now = self.now;
        self.nodes[index].home.update_view(view, now);
    }

    fn view(&self, group: usize) -> OwnerView {
        let seen = self
            .nodes
            .iter()
            .filter(|node| node.group == group && !node.dead);
        OwnerView::new(seen.map(|node| node.id.clone()), self.listed)
    }

    /// Runs for `span` while node `index` is offered `rate(index)` events per
    /// second; `stale` nodes still use the view of the whole fleet. Returns
    /// the events passed per second.
    pub fn run<F>(&mut self, span: TimeSpan, mut rate: F) -> f64
    where
        F: FnMut(usize) -> f64,
    {
        let steps = span.as_millis() / STEP.as_millis();
        let mut passed = 0.0;
        for step in 0..steps {
            self.now = self.now + STEP;
            for index in 0..self.nodes.len() {
                if !self.nodes[index].dead {
                    passed += self.offer(index, rate(index));
                    self.ask(index, step);
                }
            }
        }
        passed / span.as_secs_f64()
    }

    fn offer(&mut self, index: usize, rate: f64) -> f64 {
        let (limit, listed, workspace, now) = (self.limit, self.listed, self.workspace, self.now);
        let node = &mut self.nodes[index];
        node.carry += rate * STEP.as_secs_f64();
        let mut passed = 0.0;
        while node.carry >= 1.0 {
            node.carry -= 1.0;
            if node.table.try_acquire(workspace, limit, listed, now) == LimitDecision::Allowed {
                passed += 1.0;
            }
        }
        passed
    }

    fn ask(&mut self, index: usize, step: u64) {
        let period = INTERVAL.as_millis() / STEP.as_millis();
        if step % period != self.nodes[index].offset {
            return;
        }
        let (limit, now) = (self.limit, self.now);
        let group = self.nodes[index].group;
        let node = &self.nodes[index];
        let view = self.view(group);
        let batches = node.table.end_interval(&node.id, &view, INTERVAL, now);
        for addressed in batches {
            let same = |node: &FleetNode| node.id == addressed.owner && node.group == group;
            let Some(at) = self.nodes.iter().position(same) else {
                continue;
            };
            if self.nodes[at].dead {
                continue;
            }
            let reply = self.nodes[at]
                .home
                .answer(&addressed.batch, |_| Some(limit.rate), now);
            self.nodes[index].table.apply_reply(&reply, now, now);
        }
    }
}

/// A fixed fraction for each node, so that rare events do not come at once.
fn fraction(index: usize) -> f64 {
    f64::from(u32::try_from(index * 61 % 97).unwrap_or(0)) / 97.0
}
