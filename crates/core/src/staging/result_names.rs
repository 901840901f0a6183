use std::collections::{HashSet, VecDeque};

/// Number of names remembered: the results of about ten full calls. An answer
/// to an earlier call arrives within the time of a few calls.
const CAPACITY: usize = 2_048;

/// Names of results that targets have recently returned. A target uses each name
/// only once, so an answer that repeats a name belongs to an earlier call.
#[derive(Clone, Debug, Default)]
pub struct ResultNames {
    known: HashSet<String>,
    order: VecDeque<String>,
}

impl ResultNames {
    /// Adds the names of an answer if all of them are new, and returns whether
    /// they are. Otherwise the answer belongs to another call and nothing is
    /// added.
    pub fn try_insert<'a, Names>(&mut self, names: Names) -> bool
    where
        Names: Iterator<Item = &'a str> + Clone,
    {
        if names.clone().any(|name| self.known.contains(name)) {
            return false;
        }
        for name in names {
            self.known.insert(name.to_owned());
            self.order.push_back(name.to_owned());
        }
        while self.order.len() > CAPACITY {
            if let Some(name) = self.order.pop_front() {
                self.known.remove(&name);
            }
        }
        true
    }
}
