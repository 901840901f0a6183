use std::collections::BTreeMap;

use super::{PermitDecision, PermitPace, TargetRecord, send_pacer::SendPacer};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::TargetId,
};

/// Time after which an unused share of a limit is forgotten. The shares of many
/// nodes, saved up while the owner answered, would be far more than the limit.
const SHARE_IDLE_LIMIT: TimeSpan = TimeSpan::from_secs(2);

/// Grants permits for requests to targets that have named limits.
///
/// Designed for this load pattern: a target under stress accepts a few requests a
/// second from a fleet whose nodes could each send as many, demand exceeds the
/// limit for as long as it lasts, and the node that grants the permits is
/// replaced at any time. The permits for a target are granted by one node, so that
/// they hold for the whole fleet and are not divided into parts too small to use.
#[derive(Clone, Debug, Default)]
pub struct PermitLedger {
    pacers: BTreeMap<(TargetId, Option<u64>), SendPacer>,
    /// Time after which the unused permits for a target are forgotten, if any.
    idle_limit: Option<TimeSpan>,
}

impl PermitLedger {
    /// Creates the ledger of a node's shares of limits that others own.
    #[must_use]
    pub fn for_shares() -> Self {
        Self {
            idle_limit: Some(SHARE_IDLE_LIMIT),
            ..Self::default()
        }
    }

    /// Takes the next permit for a request to a target at `pace`, if it is available
    /// within `patience`.
    pub fn acquire<Pace>(
        &mut self,
        record: &TargetRecord,
        pace: Pace,
        patience: TimeSpan,
        now: ClockTime,
    ) -> PermitDecision
    where
        Pace: Into<PermitPace>,
    {
        let pace = pace.into();
        self.pacer(record, pace, now).acquire(pace, patience, now)
    }

    /// Time until the next permit for a target is available.
    pub fn wait(&mut self, record: &TargetRecord, pace: PermitPace, now: ClockTime) -> TimeSpan {
        self.pacer(record, pace, now).wait(pace, now)
    }

    /// Forgets the unused permits for a target, for which another node grants
    /// permits from now on.
    pub fn forget(&mut self, record: &TargetRecord) {
        self.pacers.remove(&key(record));
    }

    /// Removes the targets that are unknown to `is_known`.
    pub fn retain<Known>(&mut self, is_known: Known)
    where
        Known: Fn(&TargetId) -> bool,
    {
        self.pacers.retain(|(target, _), _| is_known(target));
    }

    fn pacer(&mut self, record: &TargetRecord, pace: PermitPace, now: ClockTime) -> &mut SendPacer {
        let pacers = &mut self.pacers;
        let pacer = pacers
            .entry(key(record))
            .or_insert_with(|| SendPacer::new(pace, now));
        if self
            .idle_limit
            .is_some_and(|limit| pacer.idle_time(now) >= limit)
        {
            *pacer = SendPacer::new(pace, now);
        }
        pacer
    }
}

fn key(record: &TargetRecord) -> (TargetId, Option<u64>) {
    (record.id.clone(), record.started_at)
}
