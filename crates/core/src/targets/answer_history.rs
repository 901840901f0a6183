use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of answers remembered for one connection.
const CAPACITY: usize = 4_096;

/// Answers that arrived on one connection, by the names of the results in them.
///
/// Designed for this load pattern: answers that name no request arrive on
/// connections that are reused for minutes, and a faulty target sends one of them
/// a second time, before the answer to any later call on the connection. A target
/// uses each name only once, so an answer that repeats a name belongs to an
/// earlier call.
#[derive(Clone, Debug, Default)]
pub struct AnswerHistory {
    /// Hash of the first name in each answer.
    answers: HashSet<u64>,
}

impl AnswerHistory {
    /// Adds an answer with results of these names, and returns whether it is new.
    /// A copy of an earlier answer is not added.
    pub fn try_insert<'a, Names>(&mut self, names: Names) -> bool
    where
        Names: IntoIterator<Item = &'a str>,
    {
        let mut hashes = names.into_iter().map(|name| xxh3_64(name.as_bytes()));
        let Some(first) = hashes.next() else {
            return true;
        };
        let is_known = |hash: u64| self.answers.contains(&hash);
        if is_known(first) || hashes.any(is_known) {
            return false;
        }
        self.answers.insert(first)
    }

    /// Whether no further answer can be remembered, so that the connection must not
    /// be used for another call.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.answers.len() >= CAPACITY
    }
}
