//! The configuration in force: which generation of each record is used.
//!
//! The choice is a pure function of the latest entry of each key. Nodes with the
//! same entries have the same records in force, regardless of the order in which
//! the entries arrived and of which older revisions a node has seen.

mod config_snapshot;
mod config_state;
mod decoded_entry;
mod record_entries;
mod sharded_map;
mod shared_record;
mod versioned_record;

pub use self::{
    config_snapshot::ConfigSnapshot,
    config_state::{ApplyOutcome, ConfigState},
    versioned_record::VersionedRecord,
};
use self::{sharded_map::ShardedMap, shared_record::SharedRecord};
