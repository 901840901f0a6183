use std::collections::{BTreeSet, HashMap};

use super::{PartAnswer, PartKey};
use crate::clock::ClockTime;

/// Maximum number of parts that are remembered. The least recently answered ones
/// are forgotten first, so callers that invent parts can't exhaust the memory.
const MAX_PARTS: usize = 4_096;

/// Parts of prompts that engines have answered for this node, with the time of the
/// last answer.
///
/// Designed for this load pattern: a few parts are shared by many requests and
/// answered many times a second, most others appear a few times and never again.
#[derive(Clone, Debug, Default)]
pub struct AnsweredParts {
    last_answers: HashMap<PartKey, ClockTime>,
    by_time: BTreeSet<(ClockTime, PartKey)>,
}

impl AnsweredParts {
    /// Records that an engine has answered a request with these parts.
    pub fn record(&mut self, parts: &[PartKey], now: ClockTime) {
        for part in parts {
            if let Some(former) = self.last_answers.insert(*part, now) {
                self.by_time.remove(&(former, *part));
            }
            self.by_time.insert((now, *part));
        }
        while self.by_time.len() > MAX_PARTS
            && let Some((_, part)) = self.by_time.pop_first()
        {
            self.last_answers.remove(&part);
        }
    }

    /// The last answers of those of the parts that were answered.
    #[must_use]
    pub fn answers(&self, parts: &[PartKey], now: ClockTime) -> Vec<PartAnswer> {
        let answered = parts.iter().filter_map(|part| {
            let at = self.last_answers.get(part)?;
            Some(PartAnswer {
                part: *part,
                age: now.since(*at),
            })
        });
        answered.collect()
    }
}
