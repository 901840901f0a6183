use std::{cell::RefCell, collections::HashMap, sync::Arc, time::Duration};

use smol::Timer;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{NodeId, PoolName, TargetId},
    targets::{
        EffectiveLimit, LimitNotice, OwnerTenure, PermitDecision, PermitLedger, PermitPace,
        TargetRecord,
    },
    units::RateLimit,
};

use super::{PermitDenied, PermitQuery, PermitReply, PermitRequest, SendPermit, within};
use crate::{
    peers::{PERMIT_PATH, PeerError},
    process::Shared,
};

/// Timeout for asking another node for a permit.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_millis(50);
/// How long a node that did not answer isn't asked again.
const UNRESPONSIVE_BACKOFF: TimeSpan = TimeSpan::from_millis(500);
/// Delay after its time within which a permit for a cold target is used.
const MAX_PERMIT_DELAY: TimeSpan = TimeSpan::from_millis(150);

/// Obtains permits for calls to targets, and grants them for the targets that this
/// node owns.
///
/// The owner of a target among the nodes grants the permits for it. Nodes ask it
/// only for targets that have named a limit or are cold. A node whose owner doesn't answer
/// uses its equal share of the limit.
#[derive(Debug)]
pub struct PermitClient {
    /// Permits for the targets that this node owns.
    owned: RefCell<PermitLedger>,
    /// This node's equal shares of the limits of targets.
    shares: RefCell<PermitLedger>,
    /// Nodes that did not answer, and until when they aren't asked.
    unresponsive: RefCell<HashMap<NodeId, ClockTime>>,
    /// For how long the owners of services with cold targets have been the same.
    tenures: RefCell<HashMap<PoolName, OwnerTenure>>,
}

impl Default for PermitClient {
    fn default() -> Self {
        Self {
            owned: RefCell::default(),
            shares: RefCell::new(PermitLedger::for_shares()),
            unresponsive: RefCell::default(),
            tenures: RefCell::default(),
        }
    }
}

impl PermitClient {
    /// Obtains a permit for a call. Waits for one that is available within the
    /// request's patience, unless the target departs meanwhile.
    ///
    /// # Errors
    ///
    /// Fails if the target has a limit and no permit is available in time. The
    /// target then counts as closed until the next one is expected. Fails too if the
    /// target takes no work at the end of the wait.
    pub async fn acquire(
        &self,
        shared: &Shared,
        request: PermitRequest<'_>,
    ) -> Result<SendPermit, PermitDenied> {
        let record = request.record;
        let Some(limited) = shared.request_limit(record) else {
            return Self::issue(shared, &request);
        };
        let asked_at = shared.now();
        let (decision, source) = self.decide(shared, &request, limited).await;
        let (outcome, wait) = match decision {
            PermitDecision::Granted { wait } => ("granted", wait),
            PermitDecision::Denied { retry_after } => ("denied", retry_after),
        };
        let permits = &shared.metrics.permits;
        permits
            .with_label_values(&[record.service.as_str(), outcome])
            .inc();
        slog::info!(shared.log, "targets: Permit decided.";
            "target" => %record.id, "service" => %record.service,
            "purpose" => request.purpose.label(), "request" => request.request.map(str::to_owned),
            "limit" => %limited.limit,
            "limit_age" => limited.named_age.map(|age| age.to_string()),
            "cold_left" => %limited.cold_left, "source" => source, "outcome" => outcome,
            "wait" => %wait);
        match decision {
            PermitDecision::Granted { wait } => {
                if !wait.is_zero() {
                    Self::wait_for_turn(shared, &request, wait).await;
                }
                // A process that stood still would use its permits all at once.
                let is_late = shared.now().since(asked_at) > wait + MAX_PERMIT_DELAY;
                if is_late && !limited.cold_left.is_zero() {
                    return Err(PermitDenied::OverLimit {
                        retry_after: TimeSpan::ZERO,
                    });
                }
                Self::issue(shared, &request)
            }
            PermitDecision::Denied { retry_after } => {
                let retry_after = limited.retry_after(retry_after);
                let until = shared.now() + retry_after;
                shared.loads.borrow_mut().set_pace(record, until);
                Err(PermitDenied::OverLimit { retry_after })
            }
        }
    }

    /// Waits until a granted permit is due, or until the target departs.
    async fn wait_for_turn(shared: &Shared, request: &PermitRequest<'_>, wait: TimeSpan) {
        if request.purpose.is_work() {
            // `None` if the target is still there when the permit is due.
            let _ = within(wait, shared.wait_until_departed(request.record)).await;
        } else {
            Timer::after(Duration::from(wait)).await;
        }
    }

    /// Issues a permit if the target still takes such calls. What was known when the
    /// target was chosen may be seconds old. A target in an evacuated zone takes none
    /// of any kind; the results that it holds expire.
    fn issue(shared: &Shared, request: &PermitRequest<'_>) -> Result<SendPermit, PermitDenied> {
        let record = request.record;
        if !shared.accepts_call(record, request.purpose) {
            slog::info!(shared.log, "targets: No longer called, it departed.";
                "target" => %record.id, "service" => %record.service,
                "purpose" => request.purpose.label(), "request" => request.request.map(str::to_owned),
                "chosen_revision" => %record.revision,
                "revision" => %shared.registry.borrow().revision(),
                "evacuated" => shared.is_evacuated(record));
            return Err(PermitDenied::Departed);
        }
        let loads = shared.loads.borrow();
        let retry_after = loads.requested_backoff(record, shared.now());
        if request.purpose.is_work() && !retry_after.is_zero() {
            return Err(PermitDenied::OverLimit { retry_after });
        }
        Ok(SendPermit::new(Arc::clone(record)))
    }

    /// Decides on another node's query.
    pub fn answer(&self, shared: &Shared, query: PermitQuery) -> PermitReply {
        let registered = shared.registry.borrow().get(&query.notice.target).cloned();
        let started_at = query.notice.started_at;
        let Some(record) = registered.filter(|record| record.started_at == started_at) else {
            return PermitReply::NotOwner;
        };
        if query.notice.is_stated() {
            shared.merge_limits(vec![query.notice], "permit query");
        }
        if let Some(notice) = query.cold {
            shared.merge_coldness(&record, notice);
        }
        if Self::owner(shared, &record).as_ref() != Some(&shared.profile.node) {
            self.owned.borrow_mut().forget(&record);
            return PermitReply::NotOwner;
        }
        let decision = shared.request_limit(&record).map_or(
            PermitDecision::Granted {
                wait: TimeSpan::ZERO,
            },
            |limited| self.grant(shared, &record, limited, query.patience),
        );
        PermitReply::Decided(decision)
    }

    /// Time until the next permit for a target that this node owns is available,
    /// and the rate at which they are. `None` if the target has no limit or another
    /// owner.
    #[must_use]
    pub fn owned_wait(
        &self,
        shared: &Shared,
        record: &TargetRecord,
    ) -> Option<(TimeSpan, RateLimit)> {
        let limited = shared.request_limit(record)?;
        if Self::owner(shared, record)? != shared.profile.node {
            return None;
        }
        let pace = self.owned_pace(shared, record, limited);
        let wait = self.owned.borrow_mut().wait(record, pace, shared.now());
        Some((wait, pace.rate()))
    }

    /// Removes the targets that are unknown to `is_known`.
    pub fn retain<Known>(&self, is_known: Known)
    where
        Known: Fn(&TargetId) -> bool,
    {
        self.owned.borrow_mut().retain(&is_known);
        self.shares.borrow_mut().retain(&is_known);
    }

    async fn decide(
        &self,
        shared: &Shared,
        request: &PermitRequest<'_>,
        limited: EffectiveLimit,
    ) -> (PermitDecision, String) {
        let record = request.record;
        let owner = Self::owner(shared, record);
        if let Some(owner) = owner {
            if owner == shared.profile.node {
                let decision = self.grant(shared, record, limited, request.patience);
                return (decision, "own".to_owned());
            }
            if let Some(decision) = self.ask_owner(shared, &owner, request).await {
                return (decision, owner.to_string());
            }
        }
        let share = shared.fleet.borrow().equal_share();
        let pace = limited.share_pace(share, shared.random_fraction());
        let mut ledger = self.shares.borrow_mut();
        let mut decision = ledger.acquire(record, pace, request.patience, shared.now());
        if let PermitDecision::Denied { retry_after } = &mut decision {
            // The owner may answer long before a small share grants a permit.
            *retry_after = (*retry_after).min(UNRESPONSIVE_BACKOFF);
        }
        (decision, "share".to_owned())
    }

    async fn ask_owner(
        &self,
        shared: &Shared,
        owner: &NodeId,
        request: &PermitRequest<'_>,
    ) -> Option<PermitDecision> {
        let now = shared.now();
        let unresponsive = self.unresponsive.borrow().get(owner).copied();
        if unresponsive.is_some_and(|until| until > now) {
            return None;
        }
        let record = request.record;
        let notice = shared.limits.borrow().notice_of(record, now);
        let notice = notice.unwrap_or_else(|| LimitNotice::unstated(record));
        let cold = shared.cold_targets.borrow().notice_of(record, now);
        let address = shared.fleet.borrow().address_of(owner)?;
        let query = PermitQuery {
            notice,
            patience: request.patience,
            cold,
        };
        let call = shared
            .peers
            .call(address, PERMIT_PATH, &query, ANSWER_TIMEOUT);
        let reply = within(ANSWER_TIMEOUT, call).await;
        let reply = reply.unwrap_or(Err(PeerError::Timeout));
        let end = if reply.is_ok() { "answered" } else { "failed" };
        let calls = &shared.metrics.peer_calls;
        calls.with_label_values(&["permit", end]).inc();
        match reply {
            Ok(PermitReply::Decided(decision)) => Some(decision),
            Ok(PermitReply::NotOwner) => None,
            Err(error) => {
                slog::warn!(shared.log, "targets: Owner of a limit did not answer.";
                    "target" => %request.record.id, "owner" => %owner, "error" => %error);
                let until = shared.now() + UNRESPONSIVE_BACKOFF;
                self.unresponsive.borrow_mut().insert(owner.clone(), until);
                None
            }
        }
    }

    fn grant(
        &self,
        shared: &Shared,
        record: &TargetRecord,
        limited: EffectiveLimit,
        patience: TimeSpan,
    ) -> PermitDecision {
        let pace = self.owned_pace(shared, record, limited);
        let mut owned = self.owned.borrow_mut();
        owned.acquire(record, pace, patience, shared.now())
    }

    /// The pace at which this node grants permits for a target that it owns.
    fn owned_pace(
        &self,
        shared: &Shared,
        record: &TargetRecord,
        limited: EffectiveLimit,
    ) -> PermitPace {
        let now = shared.now();
        let share = shared.fleet.borrow().grant_share(now);
        let has_taken_over =
            !limited.cold_left.is_zero() && self.observe_owners(shared, &record.service);
        limited.owner_pace(share, has_taken_over)
    }

    /// Observes the owners of the services that have cold targets, so that a change is
    /// noticed while none is cold.
    pub fn observe_all_owners(&self, shared: &Shared) {
        let Some(config) = shared.config() else {
            return;
        };
        for service in config.cold_limited_services() {
            self.observe_owners(shared, service);
        }
    }

    /// Observes the owners of a service. Returns whether another node may still take
    /// itself for one.
    fn observe_owners(&self, shared: &Shared, service: &PoolName) -> bool {
        let now = shared.now();
        let shards = shared.stage_client.shards(shared, service);
        let is_connected = shared.fleet.borrow().grant_share(now) >= 1.0;
        let mut tenures = self.tenures.borrow_mut();
        let tenure = tenures.entry(service.clone()).or_default();
        tenure.observe(shards.owners(), is_connected, now);
        tenure.is_disturbed(now)
    }

    fn owner(shared: &Shared, record: &TargetRecord) -> Option<NodeId> {
        let shards = shared.stage_client.shards(shared, &record.service);
        let owner = shards.owner_of_target(&record.id);
        owner.or_else(|| shards.owners().first()).cloned()
    }
}
