use std::sync::atomic::{AtomicU64, Ordering};

use super::{PromptPrefix, ShortTargetId};
use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
    protocol::{CacheChange, CacheEvent},
};

/// Buckets of the table; a power of two.
const BUCKETS: usize = 1 << 12;
/// Entries of a bucket.
const WAYS: usize = 4;
/// Age at which a hint says nothing any more.
const HINT_LIFE: TimeSpan = TimeSpan::from_secs(120);
/// Trust in a hint that is older than a gap in the target's events.
const TRUST_AFTER_GAP: f64 = 0.5;

/// Which target is thought to have cached which prefix.
///
/// A table of fixed size for a whole pool: new hints overwrite the oldest of
/// their bucket. Hints come from cache events and from the node's own calls;
/// they only steer, so a lost or torn one costs a cache miss at most.
#[derive(Debug)]
pub struct CacheHints {
    entries: Box<[HintEntry]>,
}

#[derive(Debug, Default)]
struct HintEntry {
    prefix: AtomicU64,
    /// Slot in the upper half, time in milliseconds divided by 256 below; zero
    /// for an empty entry.
    place: AtomicU64,
}

/// A target that is thought to have cached a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HintFound {
    pub(super) slot: ShortTargetId,
    pub(super) stored: ClockTime,
    /// Whole blocks cached.
    pub(super) blocks: usize,
}

/// Milliseconds of one tick of a hint's time.
const TICK_MS: u64 = 256;
const SLOT_SHIFT: u32 = 32;

impl Default for CacheHints {
    fn default() -> Self {
        let entries = (0..BUCKETS * WAYS).map(|_| HintEntry::default());
        Self {
            entries: entries.collect(),
        }
    }
}

impl CacheHints {
    /// Takes in a cache event of a target.
    pub fn apply(&self, slot: ShortTargetId, event: &CacheEvent, now: ClockTime) {
        match event.change {
            CacheChange::Stored => self.store(slot, event.prefix, now),
            CacheChange::Evicted => self.remove(slot, event.prefix),
        }
    }

    /// Notes that a target has been sent a prompt.
    pub fn record_prompt(&self, slot: ShortTargetId, prefix: &PromptPrefix, now: ClockTime) {
        for hash in prefix.hashes() {
            self.store(slot, *hash, now);
        }
    }

    fn store(&self, slot: ShortTargetId, prefix: u64, now: ClockTime) {
        let place = pack(slot, now);
        let bucket = self.bucket(prefix);
        let same = bucket
            .iter()
            .find(|entry| entry.holds(prefix) && entry.slot() == Some(slot));
        let oldest = || {
            bucket
                .iter()
                .min_by_key(|entry| entry.place.load(Ordering::Relaxed) & u64::from(u32::MAX))
        };
        if let Some(entry) = same.or_else(oldest) {
            entry.prefix.store(prefix, Ordering::Relaxed);
            entry.place.store(place, Ordering::Relaxed);
        }
    }

    fn remove(&self, slot: ShortTargetId, prefix: u64) {
        for entry in self.bucket(prefix) {
            if entry.holds(prefix) && entry.slot() == Some(slot) {
                entry.place.store(0, Ordering::Relaxed);
            }
        }
    }

    /// Looks for targets that hold the longest prefix known, and calls `visit`
    /// with each.
    pub(super) fn find<F>(&self, prefix: &PromptPrefix, mut visit: F)
    where
        F: FnMut(HintFound),
    {
        for (index, hash) in prefix.hashes().iter().enumerate().rev() {
            let mut found = false;
            for entry in self.bucket(*hash) {
                if !entry.holds(*hash) {
                    continue;
                }
                if let Some((slot, stored)) = unpack(entry.place.load(Ordering::Relaxed)) {
                    found = true;
                    visit(HintFound {
                        slot,
                        stored,
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

    fn slot(&self) -> Option<ShortTargetId> {
        unpack(self.place.load(Ordering::Relaxed)).map(|(slot, _)| slot)
    }
}

impl HintFound {
    /// How far the hint is to be believed, from 0 to 1.
    pub(super) fn trust(&self, gap_at: ClockTime, now: ClockTime) -> f64 {
        let age = numbers::millis(now.since(self.stored));
        let fresh = (1.0 - age / numbers::millis(HINT_LIFE)).max(0.0);
        if gap_at > self.stored {
            fresh * TRUST_AFTER_GAP
        } else {
            fresh
        }
    }
}

fn pack(slot: ShortTargetId, now: ClockTime) -> u64 {
    let ticks = (now.as_millis() / TICK_MS + 1) & u64::from(u32::MAX);
    (u64::from(slot.number()) << SLOT_SHIFT) | ticks
}

fn unpack(place: u64) -> Option<(ShortTargetId, ClockTime)> {
    let ticks = place & u64::from(u32::MAX);
    let slot = u32::try_from(place >> SLOT_SHIFT).ok()?;
    let start = ticks.checked_sub(1)?;
    Some((
        ShortTargetId::from_number(slot),
        ClockTime::from_millis(start * TICK_MS),
    ))
}
