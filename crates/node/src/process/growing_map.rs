use std::{
    collections::HashMap,
    hash::Hash,
    sync::{Arc, Mutex, PoisonError},
};

use arc_swap::ArcSwap;

/// A map whose values are made on first use and live as long as the process.
/// Readers never wait.
#[derive(Debug)]
pub struct GrowingMap<Key, Value> {
    known: ArcSwap<HashMap<Key, Arc<Value>>>,
    adding: Mutex<()>,
}

impl<Key, Value> Default for GrowingMap<Key, Value> {
    fn default() -> Self {
        Self {
            known: ArcSwap::from_pointee(HashMap::new()),
            adding: Mutex::new(()),
        }
    }
}

impl<Key, Value> GrowingMap<Key, Value>
where
    Key: Clone + Eq + Hash,
    Value: Default,
{
    /// The value of a key; a new one for a key seen for the first time.
    #[must_use]
    pub fn get(&self, key: &Key) -> Arc<Value> {
        if let Some(value) = self.known.load().get(key) {
            return Arc::clone(value);
        }
        let _one_at_a_time = self.adding.lock().unwrap_or_else(PoisonError::into_inner);
        let mut known = HashMap::clone(&self.known.load());
        let value = Arc::clone(known.entry(key.clone()).or_default());
        self.known.store(Arc::new(known));
        value
    }

    /// Visits all values.
    pub fn for_each<Visit>(&self, mut visit: Visit)
    where
        Visit: FnMut(&Value),
    {
        for value in self.known.load().values() {
            visit(value);
        }
    }
}
