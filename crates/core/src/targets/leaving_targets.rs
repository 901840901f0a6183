use std::collections::BTreeMap;

use super::{LeavingNotice, TargetRecord};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::TargetId,
};

/// Time for which a notice is kept and passed on. Targets exit within seconds
/// of announcing their end; some take many.
const NOTICE_LIFETIME: TimeSpan = TimeSpan::from_secs(120);
/// Notices that are kept at most, so that a fault can't fill the memory.
const NOTICE_LIMIT: usize = 4_096;

/// Which runs of targets have said in an answer that they leave.
///
/// Answers to this load pattern: services are replaced under load while the
/// registry is late, silent, or never told of the end. The notice concerns one
/// run of a target: a later run under the same identifier, or another target
/// at the same address, takes work.
#[derive(Clone, Debug, Default)]
pub struct LeavingTargets {
    noted: BTreeMap<(TargetId, Option<u64>), ClockTime>,
}

impl LeavingTargets {
    /// Notes that a run leaves, as it said `age` ago. Returns whether that is
    /// news.
    pub fn insert(
        &mut self,
        target: &TargetId,
        started_at: Option<u64>,
        age: TimeSpan,
        now: ClockTime,
    ) -> bool {
        self.expire(now);
        let key = (target.clone(), started_at);
        let is_known = self.noted.contains_key(&key);
        if is_known || age >= NOTICE_LIFETIME || self.noted.len() >= NOTICE_LIMIT {
            return false;
        }
        self.noted.insert(key, now - age);
        true
    }

    /// Takes in what another node has been told. Returns the news.
    pub fn merge(&mut self, notices: Vec<LeavingNotice>, now: ClockTime) -> Vec<TargetId> {
        let news = notices.into_iter().filter_map(|notice| {
            let is_news = self.insert(&notice.target, notice.started_at, notice.age, now);
            is_news.then_some(notice.target)
        });
        news.collect()
    }

    /// Whether the run that a record describes has said that it leaves.
    #[must_use]
    pub fn contains(&self, record: &TargetRecord) -> bool {
        !self.noted.is_empty()
            && self
                .noted
                .contains_key(&(record.id.clone(), record.started_at))
    }

    /// All notices, to be passed on.
    #[must_use]
    pub fn notices(&self, now: ClockTime) -> Vec<LeavingNotice> {
        let fresh = self
            .noted
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
        self.noted.retain(|_, at| now.since(*at) < NOTICE_LIFETIME);
    }
}
