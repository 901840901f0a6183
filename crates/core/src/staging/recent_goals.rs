use crate::{
    clock::{ClockTime, TimeSpan},
    policy::numbers,
};

/// Half-life of recorded goals. Several calls long, and short against bursts.
const GOAL_HALF_LIFE: TimeSpan = TimeSpan::from_secs(3);
/// Interval at which recorded goals decay. Short against the half-life, so that
/// planning a call seldom computes it.
const DECAY_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// Maximum number of keys. Further ones share the entry of unknown keys.
const MAX_GOAL_KEYS: usize = 64;
/// Number of recorded goals below which an entry is reused for another key.
const UNUSED_ENTRY_GOALS: f64 = 0.1;

/// Identifies the entry of a key in [`RecentGoals`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GoalKey(usize);

#[derive(Clone, Debug, Default)]
struct GoalEntry {
    key: String,
    /// Goals met and missed, decayed.
    met: f64,
    missed: f64,
    /// Goals that are neither met nor missed so far.
    open: usize,
    /// Share of missed goals. Planning a call reads it for each waiting set.
    missed_share: f64,
}

impl GoalEntry {
    fn update_share(&mut self) {
        let goals = self.met + self.missed + numbers::count(self.open);
        self.missed_share = self.missed / goals.max(1.0);
    }
}

/// Recent latency goals, met and missed, by key (a route or a workspace).
///
/// Designed for this load: for some seconds requests with many keys compete for
/// fewer places than they need, and the same property of a request decides each
/// time, so that all requests with one key miss their goals. The number of keys
/// is bounded; the entry at index 0 belongs to all keys without one of their own.
#[derive(Clone, Debug)]
pub struct RecentGoals {
    entries: Vec<GoalEntry>,
    decayed_at: ClockTime,
}

impl Default for RecentGoals {
    fn default() -> Self {
        Self {
            entries: vec![GoalEntry::default()],
            decayed_at: ClockTime::ZERO,
        }
    }
}

impl RecentGoals {
    /// Opens a goal of `key`. It stays open until it is met, missed or dropped.
    pub fn open(&mut self, key: &str) -> GoalKey {
        let position = self.position(key);
        if let Some(entry) = self.entries.get_mut(position) {
            entry.open += 1;
            entry.update_share();
        }
        GoalKey(position)
    }

    /// Records that an open goal was met.
    pub fn meet(&mut self, key: GoalKey) {
        self.close(key, 1.0, 0.0);
    }

    /// Records that an open goal was missed.
    pub fn miss(&mut self, key: GoalKey) {
        self.close(key, 0.0, 1.0);
    }

    /// Closes an open goal without recording it.
    pub fn forget(&mut self, key: GoalKey) {
        self.close(key, 0.0, 0.0);
    }

    /// Share of the recent goals of a key that were missed, from 0 to 1. Open goals
    /// count as met: otherwise, the share would follow a choice of missed goals only
    /// after the time that it takes to meet the others.
    #[must_use]
    pub fn missed_share(&self, key: GoalKey) -> f64 {
        let entry = self.entries.get(key.0);
        entry.map_or(0.0, |entry| entry.missed_share)
    }

    /// Number of keys with an entry of their own.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.entries.len() - 1
    }

    /// Reduces the weight of recorded goals by the time that has passed.
    pub fn decay(&mut self, now: ClockTime) {
        let age = now.since(self.decayed_at);
        if age < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let factor = 0.5_f64.powf(numbers::millis(age) / numbers::millis(GOAL_HALF_LIFE));
        for entry in &mut self.entries {
            entry.met *= factor;
            entry.missed *= factor;
            entry.update_share();
        }
    }

    fn close(&mut self, key: GoalKey, met: f64, missed: f64) {
        if let Some(entry) = self.entries.get_mut(key.0) {
            entry.open = entry.open.saturating_sub(1);
            entry.met += met;
            entry.missed += missed;
            entry.update_share();
        }
    }

    fn position(&mut self, key: &str) -> usize {
        if key.is_empty() {
            return 0;
        }
        if let Some(found) = self.entries.iter().position(|entry| entry.key == key) {
            return found;
        }
        let is_unused =
            |entry: &GoalEntry| entry.open == 0 && entry.met + entry.missed < UNUSED_ENTRY_GOALS;
        let unused = self.entries.iter().skip(1).position(is_unused);
        let fresh = GoalEntry {
            key: key.to_owned(),
            ..GoalEntry::default()
        };
        if self.entries.len() <= MAX_GOAL_KEYS {
            self.entries.push(fresh);
            return self.entries.len() - 1;
        }
        // Entries are reused only when all are taken: positions stay short-lived.
        let Some(position) = unused.map(|position| position + 1) else {
            return 0;
        };
        self.entries[position] = fresh;
        position
    }
}
