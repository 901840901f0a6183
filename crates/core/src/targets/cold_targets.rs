use std::collections::BTreeMap;

use super::{ColdChange, ColdNotice, TargetRecord};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::{StoreRevision, TargetId},
};

/// What is known of the coldness of one run of a target.
#[derive(Clone, Copy, Debug)]
struct ColdRun {
    started_at: Option<u64>,
    /// Latest revision of the run's record that was taken into account, zero if none.
    record_revision: StoreRevision,
    /// Latest revision of anything that was taken into account.
    revision: StoreRevision,
    /// Until when the target is cold by its record.
    stated_until: ClockTime,
    /// Until when the target counts as cold for another reason: its zone was
    /// evacuated, or another node knew more.
    assumed_until: ClockTime,
    /// Whether the last [`ColdChange`] of the run said that it is cold.
    is_reported: bool,
}

/// Until when runs of targets are cold.
///
/// Designed for this load pattern: the engines of a zone start at the same time, all
/// cold, idle and therefore preferred; any target may become cold again at any
/// moment; and the nodes that must keep to the limit of cold targets learn of them
/// at different times and may be unreachable for each other. Times count from when
/// this node learned of a record, so a target never counts as warm too early.
#[derive(Clone, Debug, Default)]
pub struct ColdTargets {
    runs: BTreeMap<TargetId, ColdRun>,
}

impl ColdTargets {
    /// Takes a record from the registry into account. A record that is known already
    /// changes nothing. Returns whether it states another coldness.
    pub fn record(&mut self, record: &TargetRecord, now: ClockTime) -> bool {
        let known = self.runs.get(&record.id);
        let known = known.filter(|run| run.started_at == record.started_at);
        if known.is_some_and(|run| run.record_revision >= record.revision) {
            return false;
        }
        if known.is_none() && record.cold_left.is_zero() {
            // Another run of the target may have been cold.
            if let Some(run) = self.runs.get_mut(&record.id) {
                *run = ColdRun {
                    is_reported: run.is_reported,
                    ..ColdRun::warm(record)
                };
            }
            return false;
        }
        let run = self.run(record);
        let is_changed = !record.cold_left.is_zero() || run.stated_until > now;
        run.record_revision = record.revision;
        run.revision = run.revision.max(record.revision);
        run.stated_until = now + record.cold_left;
        is_changed
    }

    /// Takes into account that a target is cold for `left`, unless its record says
    /// longer, because of the change at `revision`: the end of an evacuation.
    pub fn assume(
        &mut self,
        record: &TargetRecord,
        left: TimeSpan,
        revision: StoreRevision,
        now: ClockTime,
    ) {
        let run = self.run(record);
        run.revision = run.revision.max(revision);
        run.assumed_until = run.assumed_until.max(now + left);
    }

    /// Takes into account what another node knows of the run that a record
    /// describes. Ignored unless it comes from a later revision than all that this
    /// node knows: a node that learned of the same revision later counts longer.
    pub fn merge(&mut self, record: &TargetRecord, notice: ColdNotice, now: ClockTime) {
        let known = self.runs.get(&record.id);
        let known = known.filter(|run| run.started_at == record.started_at);
        let revision = known.map_or(record.revision, |run| run.revision.max(record.revision));
        if notice.revision > revision {
            self.assume(record, notice.left, notice.revision, now);
        }
    }

    /// Time until the run that a record describes is warm, zero if it is now.
    #[must_use]
    pub fn cold_left(&self, record: &TargetRecord, now: ClockTime) -> TimeSpan {
        self.run_of(record)
            .map_or(TimeSpan::ZERO, |run| now.until(run.until()))
    }

    /// What this node knows of the run that a record describes, for another node.
    /// `None` if the run is warm.
    #[must_use]
    pub fn notice_of(&self, record: &TargetRecord, now: ClockTime) -> Option<ColdNotice> {
        let run = self.run_of(record)?;
        let left = now.until(run.until());
        (!left.is_zero()).then_some(ColdNotice {
            left,
            revision: run.revision,
        })
    }

    /// Returns the targets that have become cold or warm since the last call.
    pub fn take_changes(&mut self, now: ClockTime) -> Vec<ColdChange> {
        let changed = self.runs.iter_mut().filter_map(|(target, run)| {
            let left = now.until(run.until());
            let is_cold = !left.is_zero();
            if run.is_reported == is_cold {
                return None;
            }
            run.is_reported = is_cold;
            Some(ColdChange {
                target: target.clone(),
                left,
            })
        });
        changed.collect()
    }

    /// Number of targets that are cold.
    #[must_use]
    pub fn cold_count(&self, now: ClockTime) -> usize {
        let runs = self.runs.values();
        runs.filter(|run| run.until() > now).count()
    }

    /// Removes the targets that are unknown to `is_known`.
    pub fn retain<Known>(&mut self, is_known: Known)
    where
        Known: Fn(&TargetId) -> bool,
    {
        self.runs.retain(|target, _| is_known(target));
    }

    fn run_of(&self, record: &TargetRecord) -> Option<&ColdRun> {
        let run = self.runs.get(&record.id);
        run.filter(|run| run.started_at == record.started_at)
    }

    /// The entry of the run that a record describes, in place of that of another run.
    fn run(&mut self, record: &TargetRecord) -> &mut ColdRun {
        let new = ColdRun::warm(record);
        let run = self.runs.entry(record.id.clone()).or_insert(new);
        if run.started_at != record.started_at {
            *run = ColdRun {
                is_reported: run.is_reported,
                ..new
            };
        }
        run
    }
}

impl ColdRun {
    const fn warm(record: &TargetRecord) -> Self {
        Self {
            started_at: record.started_at,
            record_revision: StoreRevision::ZERO,
            revision: record.revision,
            stated_until: ClockTime::ZERO,
            assumed_until: ClockTime::ZERO,
            is_reported: false,
        }
    }

    fn until(&self) -> ClockTime {
        self.stated_until.max(self.assumed_until)
    }
}
