use std::collections::{HashSet, VecDeque};

/// Names that are remembered. A stray answer comes within the time of a few
/// calls; these are the results of some ten full ones.
const REMEMBERED: usize = 2_048;

/// Names of results that targets have given away lately. Each name is given
/// once: an answer that names one again belongs to an earlier call.
#[derive(Clone, Debug, Default)]
pub struct ResultNames {
    known: HashSet<String>,
    order: VecDeque<String>,
}

impl ResultNames {
    /// Takes in the names of an answer. Returns whether all of them are new;
    /// otherwise the answer belongs to another call and nothing is taken in.
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
        while self.order.len() > REMEMBERED {
            if let Some(name) = self.order.pop_front() {
                self.known.remove(&name);
            }
        }
        true
    }
}
