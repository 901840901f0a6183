use std::sync::atomic::{AtomicU64, Ordering};

use super::{PromptPrefix, ShortTargetId};
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
    protocol::{CacheChange, CacheEvent},
};

/// Number of buckets of the table, a power of two.
const BUCKETS: usize = 1 << 12;
/// Number of entries per bucket.
const WAYS: usize = 4;
/// Age at which a hint is ignored.
const HINT_LIFETIME: TimeSpan = TimeSpan::from_secs(120);
/// Factor on the confidence in a hint that is older than a gap in the target's
/// cache events.
const CONFIDENCE_AFTER_GAP: f64 = 0.5;

/// Records which targets have probably cached which prompt prefixes.
///
/// This is a set-associative table of fixed size for a whole pool: a new hint
/// overwrites the oldest one of its bucket. Hints come from cache events and from
/// the node's own calls. They only influence the score of a target, so a lost or
/// torn hint costs a cache miss at most.
#[derive(Debug)]
pub struct CacheHints {
    entries: Box<[HintEntry]>,
}

#[derive(Debug, Default)]
struct HintEntry {
    prefix: AtomicU64,
    /// Short id of the target in the upper 32 bits, time of the hint in ticks of
    /// 256 ms plus one in the lower 32 bits; zero for an empty entry.
    target_and_time: AtomicU64,
}

/// A target that has probably cached a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FoundHint {
    pub(super) short_id: ShortTargetId,
    pub(super) stored_at: ClockTime,
    /// Number of cached blocks.
    pub(super) blocks: usize,
}

/// Resolution of a hint's time, in milliseconds.
const TICK_MS: u64 = 256;
const SHORT_ID_SHIFT: u32 = 32;

impl Default for CacheHints {
    fn default() -> Self {
        let entries = (0..BUCKETS * WAYS).map(|_| HintEntry::default());
        Self {
            entries: entries.collect(),
        }
    }
}

impl CacheHints {
    /// Applies a cache event of a target.
    pub fn apply(&self, short_id: ShortTargetId, event: &CacheEvent, now: ClockTime) {
        match event.change {
            CacheChange::Stored => self.store(short_id, event.prefix, now),
            CacheChange::Evicted => self.remove(short_id, event.prefix),
        }
    }

    /// Records that a prompt was sent to a target, which probably caches its
    /// prefixes.
    pub fn record_prompt(&self, short_id: ShortTargetId, prefix: &PromptPrefix, now: ClockTime) {
        for hash in prefix.hashes() {
            self.store(short_id, *hash, now);
        }
    }

    fn store(&self, short_id: ShortTargetId, prefix: u64, now: ClockTime) {
        let packed = pack(short_id, now);
        let bucket = self.bucket(prefix);
        let existing = bucket
            .iter()
            .find(|entry| entry.holds(prefix) && entry.short_id() == Some(short_id));
        let oldest = || {
            bucket.iter().min_by_key(|entry| {
                entry.target_and_time.load(Ordering::Relaxed) & u64::from(u32::MAX)
            })
        };
        if let Some(entry) = existing.or_else(oldest) {
            entry.prefix.store(prefix, Ordering::Relaxed);
            entry.target_and_time.store(packed, Ordering::Relaxed);
        }
    }

    fn remove(&self, short_id: ShortTargetId, prefix: u64) {
        for entry in self.bucket(prefix) {
            if entry.holds(prefix) && entry.short_id() == Some(short_id) {
                entry.target_and_time.store(0, Ordering::Relaxed);
            }
        }
    }

    /// Calls `visit` with each target that has a hint for the longest prefix that
    /// has any hints.
    pub(super) fn find<F>(&self, prefix: &PromptPrefix, mut visit: F)
    where
        F: FnMut(FoundHint),
    {
        for (index, hash) in prefix.hashes().iter().enumerate().rev() {
            let mut found = false;
            for entry in self.bucket(*hash) {
                if !entry.holds(*hash) {
                    continue;
                }
                if let Some((short_id, stored_at)) =
                    unpack(entry.target_and_time.load(Ordering::Relaxed))
                {
                    found = true;
                    visit(FoundHint {
                        short_id,
                        stored_at,
                        blocks: index + 1,
                    });
                }
            }
            if found {
                return;
            }
        }
    }

    fn bucket(&self, prefix: u64) -> &[HintEntry] {
        let mask = BUCKETS as u64 - 1;
        let index = usize::try_from(prefix & mask).unwrap_or(0);
        &self.entries[index * WAYS..(index + 1) * WAYS]
    }
}

impl HintEntry {
    fn holds(&self, prefix: u64) -> bool {
        self.prefix.load(Ordering::Relaxed) == prefix
    }

    fn short_id(&self) -> Option<ShortTargetId> {
        unpack(self.target_and_time.load(Ordering::Relaxed)).map(|(short_id, _)| short_id)
    }
}

impl FoundHint {
    /// Confidence in the hint, from 0 to 1. It decreases linearly with the age of
    /// the hint.
    pub(super) fn confidence(&self, last_gap_at: ClockTime, now: ClockTime) -> f64 {
        let age = numbers::millis(now.since(self.stored_at));
        let freshness = (1.0 - age / numbers::millis(HINT_LIFETIME)).max(0.0);
        if last_gap_at > self.stored_at {
            freshness * CONFIDENCE_AFTER_GAP
        } else {
            freshness
        }
    }
}

fn pack(short_id: ShortTargetId, now: ClockTime) -> u64 {
    let ticks = (now.as_millis() / TICK_MS + 1) & u64::from(u32::MAX);
    (u64::from(short_id.raw()) << SHORT_ID_SHIFT) | ticks
}

fn unpack(packed: u64) -> Option<(ShortTargetId, ClockTime)> {
    let ticks = packed & u64::from(u32::MAX);
    let short_id = u32::try_from(packed >> SHORT_ID_SHIFT).ok()?;
    let start = ticks.checked_sub(1)?;
    Some((
        ShortTargetId::from_raw(short_id),
        ClockTime::from_millis(start * TICK_MS),
    ))
}
