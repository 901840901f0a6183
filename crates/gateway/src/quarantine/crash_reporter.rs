use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    time::Duration,
};

use smol::Timer;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{IncarnationNumber, NodeId},
    policy::quarantine::{CrashReport, EngineRun, PartKey},
    targets::TargetRecord,
};

use super::{CrashBatch, CrashOwner, CrashReply};
use crate::{
    peers::{CRASH_PATH, PeerError},
    process::Shared,
    targets::within,
};

/// Time for which reports are collected before they are sent. One crash ends many
/// requests at the same moment.
const BATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout for a reply. The deciding node asks all others before it replies.
const REPLY_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);
/// Time for which a request that lost its engine waits for the verdict on its
/// prompt.
const VERDICT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// Number of nodes that a batch is offered to, if the first ones don't respond.
const MAX_OFFERS: usize = 2;
/// Time for which a report is kept, so that another deciding node can be told.
const REPORT_LIFETIME: TimeSpan = TimeSpan::from_secs(1_800);
/// Maximum number of reports that are kept. The oldest ones are dropped first.
const MAX_REPORTS: usize = 128;

/// A run of the node that decides. A later run knows nothing of former reports.
type OwnerRun = (NodeId, IncarnationNumber);

#[derive(Debug)]
struct HeldReport {
    number: u64,
    report: CrashReport,
    at: ClockTime,
    delivered_to: Option<OwnerRun>,
}

/// Reports the crashes that the requests of this node met. The reports are kept, and
/// sent again when another node decides.
#[derive(Debug, Default)]
pub struct CrashReporter {
    reports: RefCell<VecDeque<HeldReport>>,
    next_number: Cell<u64>,
    is_scheduled: Cell<bool>,
}

impl CrashReporter {
    /// Reports that the connection to an engine broke off before the answer to a
    /// request with these parts had settled.
    pub fn report(&self, shared: &Shared, record: &TargetRecord, parts: &[PartKey]) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let mut reports = self.reports.borrow_mut();
        reports.push_back(HeldReport {
            number,
            report: CrashReport {
                run: EngineRun::of(record),
                parts: parts.to_vec(),
                age: TimeSpan::ZERO,
            },
            at: shared.now(),
            delivered_to: None,
        });
        if reports.len() > MAX_REPORTS {
            reports.pop_front();
        }
        drop(reports);
        self.schedule(shared);
    }

    /// Sends the reports that the deciding node doesn't have, if there are any.
    pub fn redeliver(&self, shared: &Shared) {
        if self.reports.borrow().is_empty() {
            return;
        }
        let owner = owner_runs(shared).into_iter().next();
        let is_current = owner.is_none_or(|owner| {
            let (numbers, _) = self.undelivered(&owner, shared.now());
            numbers.is_empty()
        });
        if !is_current {
            self.schedule(shared);
        }
    }

    /// Whether none of the parts is suspected or quarantined after all reports of
    /// this node were considered. If no node replies in time, whether all of them were
    /// answered here.
    pub async fn are_blameless(&self, shared: &Shared, parts: &[PartKey]) -> bool {
        let reply = within(VERDICT_TIMEOUT, self.deliver(shared)).await;
        let now = shared.now();
        let is_unsuspected = match reply.flatten() {
            Some(reply) => !parts.iter().any(|part| reply.suspects.contains(part)),
            None => shared.quarantine.answers(parts, now).len() == parts.len(),
        };
        is_unsuspected && shared.quarantine.time_left(parts, now).is_none()
    }

    fn schedule(&self, shared: &Shared) {
        if self.is_scheduled.replace(true) {
            return;
        }
        let task = Shared::clone(shared);
        shared.tasks.spawn(async move {
            Timer::after(BATCH_INTERVAL).await;
            task.crash_reporter.is_scheduled.set(false);
            task.crash_reporter.deliver(&task).await;
        });
    }

    async fn deliver(&self, shared: &Shared) -> Option<CrashReply> {
        for owner in owner_runs(shared) {
            let (numbers, reports) = self.undelivered(&owner, shared.now());
            let batch = CrashBatch { reports };
            let reply = offer(shared, &owner.0, &batch).await;
            let end = if reply.is_ok() { "answered" } else { "failed" };
            let calls = &shared.metrics.peer_calls;
            calls.with_label_values(&["crash", end]).inc();
            match reply {
                Ok(reply) => {
                    self.record_delivery(&numbers, &owner);
                    let notices = reply.quarantine.clone();
                    shared.quarantine.merge(shared, notices, "crash reply");
                    return Some(reply);
                }
                Err(error) => {
                    slog::warn!(shared.log, "quarantine: Reports not delivered.";
                        "owner" => %owner.0, "reports" => numbers.len(), "error" => %error);
                }
            }
        }
        None
    }

    /// The reports that a run of the deciding node doesn't have, with their numbers.
    fn undelivered(&self, owner: &OwnerRun, now: ClockTime) -> (Vec<u64>, Vec<CrashReport>) {
        let mut reports = self.reports.borrow_mut();
        reports.retain(|held| now.since(held.at) < REPORT_LIFETIME);
        let missing = reports
            .iter()
            .filter(|held| held.delivered_to.as_ref() != Some(owner));
        let missing = missing.map(|held| {
            let report = CrashReport {
                age: now.since(held.at),
                ..held.report.clone()
            };
            (held.number, report)
        });
        missing.unzip()
    }

    fn record_delivery(&self, numbers: &[u64], owner: &OwnerRun) {
        for held in self.reports.borrow_mut().iter_mut() {
            if numbers.contains(&held.number) {
                held.delivered_to = Some(owner.clone());
            }
        }
    }
}

/// Runs of the nodes that a batch is offered to, one after the other.
fn owner_runs(shared: &Shared) -> Vec<OwnerRun> {
    let owners = CrashOwner::candidates(shared).into_iter();
    let fleet = shared.fleet.borrow();
    let runs = owners.filter_map(|owner| {
        let incarnation = fleet.incarnation_of(&owner)?;
        Some((owner, incarnation))
    });
    runs.take(MAX_OFFERS).collect()
}

async fn offer(
    shared: &Shared,
    owner: &NodeId,
    batch: &CrashBatch,
) -> Result<CrashReply, PeerError> {
    if *owner == shared.profile.node {
        return Ok(shared.crash_owner.receive(shared, batch).await);
    }
    let address = shared.fleet.borrow().address_of(owner);
    let unknown = || PeerError::Unreachable("no address".to_owned());
    let address = address.ok_or_else(unknown)?;
    let peers = &shared.peers;
    peers.call(address, CRASH_PATH, batch, REPLY_TIMEOUT).await
}
