use std::collections::HashMap;

use super::{
    LeaseBatch, LeaseGrant, LeaseReply, LeaseRequest, LeaseRule, OwnerView,
    lease_account::LeaseAccount,
};
use crate::{clock::ClockTime, ids::NodeId, policy::WorkspaceHash, units::RateLimit};

/// Leases out the limits of the workspaces that this node owns.
///
/// Leases cannot be revoked, so a new grant gets at most the rate that is not
/// leased yet. A node that has just become the owner of a workspace waits for
/// one lease duration, in which the leases of the previous owner expire.
#[derive(Debug)]
pub struct LeaseGrantor {
    own_id: NodeId,
    rule: LeaseRule,
    view: OwnerView,
    previous_view: OwnerView,
    view_changed_at: ClockTime,
    accounts: HashMap<WorkspaceHash, LeaseAccount>,
}

impl LeaseGrantor {
    /// Creates the grantor of a node that has just started.
    #[must_use]
    pub fn new(own_id: NodeId, rule: LeaseRule, view: OwnerView, now: ClockTime) -> Self {
        Self {
            own_id,
            rule,
            view,
            previous_view: OwnerView::default(),
            view_changed_at: now,
            accounts: HashMap::new(),
        }
    }

    /// Updates the live nodes and drops the leases of workspaces that this node
    /// no longer owns.
    pub fn update_view(&mut self, view: OwnerView, now: ClockTime) {
        if view == self.view {
            return;
        }
        let own_id = &self.own_id;
        self.accounts
            .retain(|workspace, _| view.owner(*workspace) == Some(own_id));
        self.previous_view = std::mem::replace(&mut self.view, view);
        self.view_changed_at = now;
    }

    /// Answers a batch of lease requests. `limit_of` returns the configured
    /// limit of a workspace. Workspaces without a limit, and those for which this
    /// node may not grant leases yet, are left out of the reply.
    pub fn answer<F>(&mut self, batch: &LeaseBatch, mut limit_of: F, now: ClockTime) -> LeaseReply
    where
        F: FnMut(WorkspaceHash) -> Option<RateLimit>,
    {
        let mut grants = Vec::with_capacity(batch.asks.len());
        for request in &batch.asks {
            let Some(limit) = limit_of(request.workspace) else {
                continue;
            };
            if self.may_grant(request.workspace, now) {
                grants.push(self.grant(&batch.holder, request, limit, now));
            }
        }
        LeaseReply {
            grants,
            span: self.rule.lease_duration,
        }
    }

    /// Removes the accounts of workspaces without recent requests. Must be called
    /// about once a second.
    pub fn remove_idle(&mut self, now: ClockTime) {
        let lease_duration = self.rule.lease_duration;
        self.accounts
            .retain(|_, account| !account.is_idle(lease_duration, now));
    }

    /// Number of workspaces with an account.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no workspace has an account.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn may_grant(&self, workspace: WorkspaceHash, now: ClockTime) -> bool {
        if self.view.owner(workspace) != Some(&self.own_id) {
            return false;
        }
        let waited = now.since(self.view_changed_at) >= self.rule.lease_duration;
        let was_owner = || self.previous_view.owner(workspace) == Some(&self.own_id);
        waited || self.accounts.contains_key(&workspace) || was_owner()
    }

    fn grant(
        &mut self,
        holder: &NodeId,
        request: &LeaseRequest,
        limit: RateLimit,
        now: ClockTime,
    ) -> LeaseGrant {
        let leasable_rate =
            self.rule
                .leased_rate(limit, self.view.live_count(), self.view.listed_count());
        let account = self.accounts.entry(request.workspace);
        let account = account.or_insert_with(|| LeaseAccount::new(now));
        account.update(leasable_rate, self.rule.lease_duration, now);
        LeaseGrant {
            workspace: request.workspace,
            tokens: account.grant_tokens(request.tokens),
            rate: account.grant_rate(holder, request.wanted, now),
        }
    }
}
