use std::collections::HashMap;

use super::{
    LeaseBatch, LeaseGrant, LeaseReply, LeaseRequest, LeaseRule, OwnerView,
    lease_account::LeaseAccount,
};
use crate::{clock::ClockTime, ids::NodeId, policy::WorkspaceHash, units::RateLimit};

/// Leases out the limits of the workspaces whose home this node is.
///
/// Leases given out cannot be called back, so a new grant gets no more than
/// what is left. A node that has just become the home of a workspace waits for
/// one life of a lease, in which those of the home before run out.
#[derive(Debug)]
pub struct LeaseGrantor {
    own: NodeId,
    rule: LeaseRule,
    view: OwnerView,
    previous: OwnerView,
    changed: ClockTime,
    entries: HashMap<WorkspaceHash, LeaseAccount>,
}

impl LeaseGrantor {
    /// Creates the home of a node that has just started.
    #[must_use]
    pub fn new(own: NodeId, rule: LeaseRule, view: OwnerView, now: ClockTime) -> Self {
        Self {
            own,
            rule,
            view,
            previous: OwnerView::default(),
            changed: now,
            entries: HashMap::new(),
        }
    }

    /// Follows a change of the live nodes.
    pub fn update_view(&mut self, view: OwnerView, now: ClockTime) {
        if view == self.view {
            return;
        }
        let own = &self.own;
        self.entries
            .retain(|workspace, _| view.owner(*workspace) == Some(own));
        self.previous = std::mem::replace(&mut self.view, view);
        self.changed = now;
    }

    /// Answers a batch. `limit_of` gives the limit of a workspace in the
    /// records in force.
    pub fn answer<F>(&mut self, batch: &LeaseBatch, mut limit_of: F, now: ClockTime) -> LeaseReply
    where
        F: FnMut(WorkspaceHash) -> Option<RateLimit>,
    {
        let mut grants = Vec::with_capacity(batch.asks.len());
        for ask in &batch.asks {
            let Some(limit) = limit_of(ask.workspace) else {
                continue;
            };
            if self.may_grant(ask.workspace, now) {
                grants.push(self.grant(&batch.holder, ask, limit, now));
            }
        }
        LeaseReply {
            grants,
            span: self.rule.span,
        }
    }

    /// Forgets leases that have run out. To be called about every second.
    pub fn remove_idle(&mut self, now: ClockTime) {
        let span = self.rule.span;
        self.entries
            .retain(|_, account| !account.is_idle(span, now));
    }

    /// Workspaces with leases.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no leases.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn may_grant(&self, workspace: WorkspaceHash, now: ClockTime) -> bool {
        if self.view.owner(workspace) != Some(&self.own) {
            return false;
        }
        let waited = now.since(self.changed) >= self.rule.span;
        let was_home = || self.previous.owner(workspace) == Some(&self.own);
        waited || self.entries.contains_key(&workspace) || was_home()
    }

    fn grant(
        &mut self,
        holder: &NodeId,
        ask: &LeaseRequest,
        limit: RateLimit,
        now: ClockTime,
    ) -> LeaseGrant {
        let total = self
            .rule
            .leased_rate(limit, self.view.live_count(), self.view.listed_count());
        let account = self.entries.entry(ask.workspace);
        let account = account.or_insert_with(|| LeaseAccount::new(now));
        account.update(total, self.rule.span, now);
        LeaseGrant {
            workspace: ask.workspace,
            tokens: account.give_tokens(ask.tokens),
            rate: account.lease(holder, ask.wanted, now),
        }
    }
}
