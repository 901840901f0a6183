use serde::{Deserialize, Serialize};

/// A change of an engine's prefix cache.
///
/// Sequence numbers increase by one; a gap means that events were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event at its engine.
    pub sequence: u64,
    /// Hash of the prompt prefix: xxh3-64 of the first k x 256 bytes of the prompt,
    /// with one event per k.
    pub prefix: u64,
    /// Kind of change.
    pub change: CacheChange,
}

/// Kind of change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was removed from the cache.
    Evicted,
}

/// Response to a query for the cache events after a sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachePage {
    /// The events in order of their sequence numbers.
    pub events: Vec<CacheEvent>,
    /// Sequence number to pass in the next query.
    pub next: u64,
}
