use std::collections::{HashMap, VecDeque};

use crate::{clock::ClockTime, ids::TargetId};

/// One result that lies at its maker.
#[derive(Clone, Debug)]
pub(super) struct HeldResult {
    pub(super) maker: TargetId,
    pub(super) bytes: u64,
}

/// Results that lie at their makers, until they are freed or expire.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldResults {
    results: HashMap<String, HeldResult>,
    expiries: VecDeque<(ClockTime, String)>,
}

impl HeldResults {
    /// Takes note of a result that its maker drops at `expires`.
    pub(super) fn insert(&mut self, name: &str, result: HeldResult, expires: ClockTime) {
        self.results.insert(name.to_owned(), result);
        self.expiries.push_back((expires, name.to_owned()));
    }

    /// Takes a result out that was freed.
    pub(super) fn remove(&mut self, name: &str) -> Option<HeldResult> {
        self.results.remove(name)
    }

    /// Takes out the results that have expired.
    pub(super) fn take_expired(&mut self, now: ClockTime) -> Vec<HeldResult> {
        let mut expired = Vec::new();
        while let Some((_, name)) = self.expiries.pop_front_if(|(expires, _)| *expires <= now) {
            expired.extend(self.results.remove(&name));
        }
        expired
    }

    /// When the next result expires.
    pub(super) fn next_expiry(&self) -> Option<ClockTime> {
        self.expiries.front().map(|(expires, _)| *expires)
    }
}
