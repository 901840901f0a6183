use std::collections::BTreeMap;

use super::{LimitNotice, RequestLimit, TargetRecord};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::TargetId,
};

/// Time for which it is passed on that a limit was withdrawn. Nodes that still
/// hold the limit hear of it within seconds.
const WITHDRAWAL_LIFETIME: TimeSpan = TimeSpan::from_secs(60);
/// Least difference in age by which a notice of the same limit counts as newer.
/// Notices look newer by the time that they are on their way.
const MIN_NEWS_AGE: TimeSpan = TimeSpan::from_millis(250);
/// Largest number of runs that are kept, so that a faulty sender can't exhaust the
/// memory.
const MAX_STATEMENTS: usize = 4_096;

/// Latest statement of one run of a target about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LimitStatement {
    /// `None` if the run has withdrawn its limit.
    limit: Option<RequestLimit>,
    made_at: ClockTime,
}

/// Limits on the rate of requests that runs of targets have named in responses.
///
/// Designed for this load pattern: a target under stress names a limit in every
/// response until the stress is over, while responses to earlier requests are
/// still on their way, and the same identifier may be used by a later run that
/// has no limit.
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    statements: BTreeMap<(TargetId, Option<u64>), LimitStatement>,
}

impl TargetLimits {
    /// Records the limit that a response named. Returns whether it differs from
    /// the former one.
    pub fn record_named(
        &mut self,
        record: &TargetRecord,
        limit: RequestLimit,
        now: ClockTime,
    ) -> bool {
        let statement = LimitStatement {
            limit: Some(limit),
            made_at: now,
        };
        let former = self.statements.insert(key(record), statement);
        former.and_then(|former| former.limit) != Some(limit)
    }

    /// Records a response that named no limit, to a request sent at `sent_at`.
    /// Returns whether this withdraws a limit. A response to a request that was
    /// sent before the limit was last named may be older than the limit, so it
    /// doesn't.
    pub fn record_unnamed(
        &mut self,
        record: &TargetRecord,
        sent_at: ClockTime,
        now: ClockTime,
    ) -> bool {
        let Some(statement) = self.statements.get_mut(&key(record)) else {
            return false;
        };
        let is_withdrawn = statement.limit.is_some() && sent_at > statement.made_at;
        if is_withdrawn {
            *statement = LimitStatement {
                limit: None,
                made_at: now,
            };
        }
        is_withdrawn
    }

    /// Merges notices from another node. Of two statements of a run the later one
    /// wins. Returns the notices that changed a limit.
    pub fn merge(&mut self, notices: Vec<LimitNotice>, now: ClockTime) -> Vec<LimitNotice> {
        let mut changes = Vec::new();
        for notice in notices {
            let key = (notice.target.clone(), notice.started_at);
            let statement = LimitStatement {
                limit: notice.limit,
                made_at: now - notice.age,
            };
            let known = self.statements.get(&key).copied();
            let is_newer = known.map_or(self.statements.len() < MAX_STATEMENTS, |known| {
                let least = if known.limit == notice.limit {
                    MIN_NEWS_AGE
                } else {
                    TimeSpan::ZERO
                };
                statement.made_at > known.made_at + least
            });
            if !is_newer {
                continue;
            }
            self.statements.insert(key, statement);
            if known.and_then(|known| known.limit) != notice.limit {
                changes.push(notice);
            }
        }
        changes
    }

    /// The latest statements, for other nodes.
    #[must_use]
    pub fn notices(&self, now: ClockTime) -> Vec<LimitNotice> {
        let current = self.statements.iter().filter(|(_, statement)| {
            statement.limit.is_some() || now.since(statement.made_at) < WITHDRAWAL_LIFETIME
        });
        let notices = current.map(|((target, started_at), statement)| LimitNotice {
            target: target.clone(),
            started_at: *started_at,
            limit: statement.limit,
            age: now.since(statement.made_at),
        });
        notices.collect()
    }

    /// The latest statement of the run that a record describes, for another node.
    #[must_use]
    pub fn notice_of(&self, record: &TargetRecord, now: ClockTime) -> Option<LimitNotice> {
        let statement = self.statements.get(&key(record))?;
        Some(LimitNotice {
            target: record.id.clone(),
            started_at: record.started_at,
            limit: statement.limit,
            age: now.since(statement.made_at),
        })
    }

    /// The limit of the run that a record describes, and the time since it was
    /// last named.
    #[must_use]
    pub fn limit_of(
        &self,
        record: &TargetRecord,
        now: ClockTime,
    ) -> Option<(RequestLimit, TimeSpan)> {
        if self.statements.is_empty() {
            return None;
        }
        let statement = self.statements.get(&key(record))?;
        Some((statement.limit?, now.since(statement.made_at)))
    }

    /// Number of runs that have a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let statements = self.statements.values();
        statements
            .filter(|statement| statement.limit.is_some())
            .count()
    }

    /// Removes the targets that are unknown to `is_known`.
    pub fn retain<Known>(&mut self, is_known: Known)
    where
        Known: Fn(&TargetId) -> bool,
    {
        self.statements.retain(|(target, _), _| is_known(target));
    }
}

fn key(record: &TargetRecord) -> (TargetId, Option<u64>) {
    (record.id.clone(), record.started_at)
}
