use std::collections::BTreeMap;

use super::{PartKey, QuarantineNotice};
use crate::clock::{ClockTime, TimeSpan};

/// Length of the first quarantine of a part. Each request that is let through
/// afterwards may cost an engine and all that runs there.
const FIRST_PERIOD: TimeSpan = TimeSpan::from_secs(600);
/// Maximum length of a quarantine.
const MAX_PERIOD: TimeSpan = TimeSpan::from_secs(4 * 3_600);
/// Multiple of its period for which a quarantine is remembered. A part that crashes
/// an engine in this time is quarantined again at once.
const MEMORY_PERIODS: u64 = 3;
/// Maximum number of parts. Beyond it the ones that end first are dropped.
const MAX_PARTS: usize = 1_024;
const THOUSANDTHS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    begun_at: ClockTime,
    period: TimeSpan,
}

/// Parts of prompts that crash engines. Requests with such a part aren't sent.
///
/// Designed for this load pattern: requests with the part keep coming at all nodes
/// for minutes or hours. Nodes end a quarantine one after the other, up to another
/// period later, so that the first request that is let through shows whether the
/// part is still deadly before the other nodes let it through.
#[derive(Clone, Debug)]
pub struct QuarantinedParts {
    parts: BTreeMap<PartKey, Quarantine>,
    /// Thousandths of its period by which this node prolongs each quarantine.
    prolongation: u64,
}

impl QuarantinedParts {
    /// Creates an empty list. `node_hash` decides how long after the others the node
    /// ends a quarantine.
    #[must_use]
    pub const fn new(node_hash: u64) -> Self {
        Self {
            parts: BTreeMap::new(),
            prolongation: node_hash % THOUSANDTHS,
        }
    }

    /// Begins the quarantine of a part. Each one of the same part is twice as long
    /// as the one before.
    pub fn begin(&mut self, part: PartKey, now: ClockTime) -> QuarantineNotice {
        self.expire(now);
        let former = self.parts.get(&part);
        let period = former.map_or(FIRST_PERIOD, |former| (former.period * 2).min(MAX_PERIOD));
        let notice = QuarantineNotice {
            part,
            age: TimeSpan::ZERO,
            period,
        };
        self.insert(notice, now);
        notice
    }

    /// Merges notices of other nodes. Of two quarantines of a part the one that ends
    /// later wins. Returns the notices of parts that were not in quarantine.
    pub fn merge(
        &mut self,
        notices: Vec<QuarantineNotice>,
        now: ClockTime,
    ) -> Vec<QuarantineNotice> {
        self.expire(now);
        let added = notices.into_iter().filter(|notice| {
            let is_new = self.time_left(&[notice.part], now).is_none();
            self.insert(*notice, now);
            is_new && self.time_left(&[notice.part], now).is_some()
        });
        added.collect()
    }

    /// The part of a request that is in quarantine and the time until its end at this
    /// node, if any.
    #[must_use]
    pub fn time_left(&self, parts: &[PartKey], now: ClockTime) -> Option<(PartKey, TimeSpan)> {
        if self.parts.is_empty() {
            return None;
        }
        let ends = parts.iter().filter_map(|part| {
            let quarantine = self.parts.get(part)?;
            let extra = quarantine.period.as_millis() * self.prolongation / THOUSANDTHS;
            let end = quarantine.begun_at + quarantine.period + TimeSpan::from_millis(extra);
            (end > now).then(|| (*part, now.until(end)))
        });
        ends.max_by_key(|(_, left)| *left)
    }

    /// Whether a part is in quarantine or was in the recent past.
    #[must_use]
    pub fn is_remembered(&self, part: PartKey) -> bool {
        self.parts.contains_key(&part)
    }

    /// All quarantines, for other nodes.
    #[must_use]
    pub fn notices(&self, now: ClockTime) -> Vec<QuarantineNotice> {
        let parts = self.parts.iter();
        let notices = parts.map(|(part, quarantine)| QuarantineNotice {
            part: *part,
            age: now.since(quarantine.begun_at),
            period: quarantine.period,
        });
        notices.collect()
    }

    /// Number of parts in quarantine at this node.
    #[must_use]
    pub fn active_count(&self, now: ClockTime) -> usize {
        let parts = self.parts.keys();
        parts
            .filter(|part| self.time_left(&[**part], now).is_some())
            .count()
    }

    fn insert(&mut self, notice: QuarantineNotice, now: ClockTime) {
        let period = notice.period.min(MAX_PERIOD);
        let begun_at = now - notice.age;
        if notice.age >= period * MEMORY_PERIODS {
            return;
        }
        let known = self.parts.get(&notice.part);
        if known.is_some_and(|known| known.begun_at + known.period >= begun_at + period) {
            return;
        }
        self.parts
            .insert(notice.part, Quarantine { begun_at, period });
        while self.parts.len() > MAX_PARTS {
            let ends = self.parts.iter();
            let first = ends.min_by_key(|(_, quarantine)| quarantine.begun_at + quarantine.period);
            let Some((part, _)) = first else { return };
            let part = *part;
            self.parts.remove(&part);
        }
    }

    fn expire(&mut self, now: ClockTime) {
        self.parts.retain(|_, quarantine| {
            now.since(quarantine.begun_at) < quarantine.period * MEMORY_PERIODS
        });
    }
}
