use std::{
    collections::BTreeMap,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash},
    sync::Arc,
};

/// Number of shards. A change copies one shard if a clone of the map still shares
/// it.
const SHARD_COUNT: usize = 256;

/// A map of shards that are copied on write.
///
/// A clone shares all shards with the original, so that cloning the map and then
/// changing it costs far less than copying it.
#[derive(Clone, Debug)]
pub(super) struct ShardedMap<K, V> {
    shards: Arc<[Arc<BTreeMap<K, V>>]>,
    length: usize,
}

impl<K, V> ShardedMap<K, V>
where
    K: Clone + Ord + Hash,
    V: Clone,
{
    /// Creates an empty map.
    pub(super) fn new() -> Self {
        let empty = Arc::new(BTreeMap::new());
        Self {
            shards: vec![empty; SHARD_COUNT].into(),
            length: 0,
        }
    }

    /// Returns the number of entries.
    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Returns the value of a key.
    pub(super) fn get(&self, key: &K) -> Option<&V> {
        self.shards[shard_of(key)].get(key)
    }

    /// Sets the value of a key, or removes the key if there is no value.
    pub(super) fn set(&mut self, key: &K, value: Option<V>) {
        let index = shard_of(key);
        if value.is_none() && !self.shards[index].contains_key(key) {
            return;
        }
        let shard = Arc::make_mut(&mut Arc::make_mut(&mut self.shards)[index]);
        self.length -= shard.len();
        match value {
            Some(value) => shard.insert(key.clone(), value),
            None => shard.remove(key),
        };
        self.length += shard.len();
    }

    /// Returns all entries, in an order that is arbitrary but always the same.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.shards.iter().flat_map(|shard| shard.iter())
    }
}

fn shard_of<K>(key: &K) -> usize
where
    K: Hash,
{
    let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(key);
    usize::try_from(hash % SHARD_COUNT as u64).unwrap_or(0)
}
