use std::collections::BTreeMap;

use super::{LeavingNotice, TargetRecord};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::TargetId,
};

/// Time for which a notice is kept and passed on. Targets exit within seconds of
/// the announcement; some take many seconds.
const NOTICE_LIFETIME: TimeSpan = TimeSpan::from_secs(120);
/// Largest number of notices that are kept, so that a faulty sender can't exhaust
/// the memory.
const MAX_NOTICES: usize = 4_096;

/// Runs of targets that have announced in a response that they are leaving.
///
/// Designed for this load pattern: services are replaced under load while the
/// registry is late, does not respond, or is never told of the end. A notice
/// concerns one run of a target: a later run under the same identifier, or
/// another target at the same address, still gets work.
#[derive(Clone, Debug, Default)]
pub struct LeavingTargets {
    /// Time of the announcement by target and start time of the run.
    announced: BTreeMap<(TargetId, Option<u64>), ClockTime>,
}

impl LeavingTargets {
    /// Adds a run that announced `age` ago that it is leaving. Returns whether the
    /// run was added: it was unknown, the notice is not too old, and there is
    /// room for it.
    pub fn insert(
        &mut self,
        target: &TargetId,
        started_at: Option<u64>,
        age: TimeSpan,
        now: ClockTime,
    ) -> bool {
        self.expire(now);
        let key = (target.clone(), started_at);
        let is_known = self.announced.contains_key(&key);
        if is_known || age >= NOTICE_LIFETIME || self.announced.len() >= MAX_NOTICES {
            return false;
        }
        self.announced.insert(key, now - age);
        true
    }

    /// Adds notices from another node. Returns the targets of those that were
    /// added.
    pub fn merge(&mut self, notices: Vec<LeavingNotice>, now: ClockTime) -> Vec<TargetId> {
        let added = notices.into_iter().filter_map(|notice| {
            let is_new = self.insert(&notice.target, notice.started_at, notice.age, now);
            is_new.then_some(notice.target)
        });
        added.collect()
    }

    /// Whether the run that a record describes has announced that it is leaving.
    #[must_use]
    pub fn contains(&self, record: &TargetRecord) -> bool {
        !self.announced.is_empty()
            && self
                .announced
                .contains_key(&(record.id.clone(), record.started_at))
    }

    /// All current notices, for other nodes.
    #[must_use]
    pub fn notices(&self, now: ClockTime) -> Vec<LeavingNotice> {
        let fresh = self
            .announced
            .iter()
            .filter(|(_, at)| now.since(**at) < NOTICE_LIFETIME);
        fresh
            .map(|((target, started_at), at)| LeavingNotice {
                target: target.clone(),
                started_at: *started_at,
                age: now.since(*at),
            })
            .collect()
    }

    fn expire(&mut self, now: ClockTime) {
        self.announced
            .retain(|_, at| now.since(*at) < NOTICE_LIFETIME);
    }
}
