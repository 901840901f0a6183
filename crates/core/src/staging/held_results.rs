use std::collections::{HashMap, VecDeque};

use crate::{clock::ClockTime, ids::TargetId};

/// A result held by the target that produced it.
#[derive(Clone, Debug)]
pub(super) struct HeldResult {
    pub(super) target: TargetId,
    pub(super) bytes: u64,
}

/// Results held by the targets that produced them, until they are freed or
/// expire.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldResults {
    results: HashMap<String, HeldResult>,
    expiries: VecDeque<(ClockTime, String)>,
}

impl HeldResults {
    /// Adds a result that its target drops at `expires`.
    pub(super) fn insert(&mut self, name: &str, result: HeldResult, expires: ClockTime) {
        self.results.insert(name.to_owned(), result);
        self.expiries.push_back((expires, name.to_owned()));
    }

    /// Removes a freed result.
    pub(super) fn remove(&mut self, name: &str) -> Option<HeldResult> {
        self.results.remove(name)
    }

    /// Removes and returns the results that have expired.
    pub(super) fn take_expired(&mut self, now: ClockTime) -> Vec<HeldResult> {
        let mut expired = Vec::new();
        while let Some((_, name)) = self.expiries.pop_front_if(|(expires, _)| *expires <= now) {
            expired.extend(self.results.remove(&name));
        }
        expired
    }

    /// When the next result expires. May be that of a result already freed.
    pub(super) fn next_expiry(&self) -> Option<ClockTime> {
        self.expiries.front().map(|(expires, _)| *expires)
    }
}
