use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use arc_swap::ArcSwap;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    cluster::ClusterView,
    config::ConfigSnapshot,
    ids::NodeId,
    policy::{
        WorkspaceHash,
        limits::{
            AddressedBatch, LeaseBatch, LeaseGrantor, LeaseReply, LeaseRule, LimitDecision,
            LimitTable, OwnerView, WorkspaceLimit,
        },
    },
    records::WorkspaceRecord,
    units::RateLimit,
};

/// Holds the requests of workspaces to their limits over all nodes.
#[derive(Debug)]
pub struct LimitDesk {
    own: NodeId,
    table: LimitTable,
    home: Mutex<LeaseGrantor>,
    view: ArcSwap<OwnerView>,
    limits: ArcSwap<LimitMap>,
}

/// The limits of one version of the configuration.
#[derive(Debug, Default)]
struct LimitMap {
    snapshot: Option<Arc<ConfigSnapshot>>,
    limits: HashMap<WorkspaceHash, RateLimit>,
}

impl LimitDesk {
    /// Creates the desk of a node that has just started.
    #[must_use]
    pub fn new(own: NodeId, now: ClockTime) -> Self {
        let rule = LeaseRule::default();
        let home = LeaseGrantor::new(own.clone(), rule, OwnerView::default(), now);
        Self {
            own,
            table: LimitTable::new(rule),
            home: Mutex::new(home),
            view: ArcSwap::default(),
            limits: ArcSwap::default(),
        }
    }

    /// Counts a request of a workspace against its limit.
    #[must_use]
    pub fn take(&self, workspace: &WorkspaceRecord, now: ClockTime) -> LimitDecision {
        let number = WorkspaceHash::of(&workspace.id);
        let listed = self.view.load().listed_count();
        let limit = WorkspaceLimit {
            rate: workspace.rate,
            burst: workspace.burst,
        };
        self.table.try_acquire(number, limit, listed, now)
    }

    /// Follows the cluster and the configuration.
    pub fn follow(&self, cluster: &ClusterView, snapshot: &Arc<ConfigSnapshot>, now: ClockTime) {
        let live = cluster.members.live.iter();
        let nodes = live.map(|member| member.node.clone());
        let view = OwnerView::new(nodes, cluster.members.listed);
        self.with_home(|home| {
            home.update_view(view.clone(), now);
            home.remove_idle(now);
        });
        self.view.store(Arc::new(view));
        self.follow_limits(snapshot);
    }

    /// What to ask the homes for after an interval.
    #[must_use]
    pub fn end_interval(&self, interval: TimeSpan, now: ClockTime) -> Vec<AddressedBatch> {
        let view = self.view.load();
        self.table.end_interval(&self.own, &view, interval, now)
    }

    /// Answers the wishes of a node, which may be this one.
    #[must_use]
    pub fn answer(&self, batch: &LeaseBatch, now: ClockTime) -> LeaseReply {
        let limits = self.limits.load();
        let limit_of = |workspace| limits.limits.get(&workspace).copied();
        self.with_home(|home| home.answer(batch, limit_of, now))
    }

    /// Takes in the reply to wishes that were sent at `asked_at`.
    pub fn take_reply(&self, reply: &LeaseReply, asked_at: ClockTime, now: ClockTime) {
        self.table.apply_reply(reply, asked_at, now);
    }

    fn follow_limits(&self, snapshot: &Arc<ConfigSnapshot>) {
        let current = self.limits.load();
        let known = current.snapshot.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, snapshot)) {
            return;
        }
        let entry = |record: &Arc<WorkspaceRecord>| (WorkspaceHash::of(&record.id), record.rate);
        self.limits.store(Arc::new(LimitMap {
            snapshot: Some(Arc::clone(snapshot)),
            limits: snapshot.workspaces().map(entry).collect(),
        }));
    }

    fn with_home<Step, Output>(&self, step: Step) -> Output
    where
        Step: FnOnce(&mut LeaseGrantor) -> Output,
    {
        let mut home = self.home.lock().unwrap_or_else(PoisonError::into_inner);
        step(&mut home)
    }
}
